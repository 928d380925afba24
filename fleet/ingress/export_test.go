package ingress

import "time"

// WithCloseTimeout sets how long Close waits for answers that are being sent.
func (l *Listener) WithCloseTimeout(d time.Duration) *Listener {
	l.closeTimeout = d
	return l
}

// WithUnreadTimeout sets how long a caller may read nothing of an answer.
func (l *Listener) WithUnreadTimeout(d time.Duration) *Listener {
	l.unread = d
	return l
}

// WithLingerTime sets how long a connection lingers whose call is answered before its body has come.
func (l *Listener) WithLingerTime(d time.Duration) *Listener {
	l.lingerTime = d
	return l
}

// Conns returns the number of open connections.
func Conns(l *Listener) int { return l.Open() }

// Serving returns the number of servers that accept connections.
func Serving(l *Listener) (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.servers {
		select {
		case <-s.conns.closed:
		default:
			n++
		}
	}
	return n
}
