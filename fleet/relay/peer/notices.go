package peer

import (
	"github.com/lynxshed/lynxshed/fleet/clock"
	"github.com/lynxshed/lynxshed/fleet/relay/notice"
)

// What endpoints say in answers is told as limits are: at once, and again with the digests.

// WithNotices has the node tell and hear of what endpoints say in answers, before Run.
func (t *Gossip) WithNotices(b *notice.Book) *Gossip {
	t.notices = b
	return t
}

func (t *Gossip) urgentNotices() <-chan struct{} {
	if t.notices == nil {
		return nil
	}
	return t.notices.Urgent()
}

// tellNotices tells at once what can't wait for the digests.
func (t *Gossip) tellNotices(delegates map[string]bool) {
	if words := t.notices.News(t.tellsOn(), clock.Now()); len(words) > 0 {
		t.send(t.signed(message{Notices: words}), t.audience(delegates)...)
	}
}

// noticeWords is what is told along with everything else.
func (t *Gossip) noticeWords() []notice.Word {
	if t.notices == nil {
		return nil
	}
	return t.notices.Words(t.tellsOn(), clock.Now())
}

// heardNotices takes in what another node tells.
func (t *Gossip) heardNotices(m message) {
	if t.notices != nil && len(m.Notices) > 0 {
		t.notices.Heard(m.Node, m.Notices, clock.Now())
	}
}
