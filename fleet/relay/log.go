package relay

import (
	"io"
	"sync/atomic"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"

	"github.com/lynxshed/lynxshed/fleet/clock"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
)

func engineFields(e engine.Engine) log.Fields {
	fields := log.Fields{"endpoint": e.ID, "service": e.Service, "address": e.Address, "zone": e.Zone, "version": e.Version, "draining": e.State == engine.Draining}
	if left := clock.Until(e.ColdUntil); left > 0 {
		fields["coldMs"] = left.Milliseconds()
	}
	return fields
}

// What may wait for a slow reader of the log: callers choose some of the values that lines hold.
const (
	logLines = 2048
	logBytes = 2 << 20
)

// Sink writes log lines without ever blocking its caller: if the reader is slow, lines are dropped
// and counted.
type Sink struct {
	lines   chan []byte
	waiting atomic.Int64 // bytes of the lines
	dropped atomic.Int64
}

// NewSink returns a sink that writes to w.
func NewSink(w io.Writer) *Sink {
	s := &Sink{lines: make(chan []byte, logLines)}
	go func() {
		for line := range s.lines {
			_, _ = w.Write(line)
			s.waiting.Add(-int64(len(line)))
		}
	}()
	return s
}

// Write implements io.Writer for one line.
func (s *Sink) Write(line []byte) (int, error) {
	if s.waiting.Add(int64(len(line))) <= logBytes {
		select {
		case s.lines <- append([]byte(nil), line...):
			return len(line), nil
		default:
		}
	}
	s.waiting.Add(-int64(len(line)))
	s.dropped.Add(1)
	return len(line), nil
}

// Dropped returns how many lines were dropped.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// NewLogger returns a node's logger of JSON lines to a sink.
func NewLogger(s *Sink, node, level string) log.Interface {
	parsed, err := log.ParseLevel(level)
	if err != nil {
		parsed = log.InfoLevel
	}
	return (&log.Logger{Handler: json.New(s), Level: parsed}).WithField("node", node)
}
