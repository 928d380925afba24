package forward

import (
	"bytes"
	"context"
	"io"
	"net/http/httptest"
	"testing"
	"testing/iotest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lynxshed/lynxshed/fleet/relay/choice"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
)

// silent discards all metrics.
type silent struct{}

func (silent) Finished(string, string, time.Duration) {}
func (silent) FirstEvent(string, time.Duration)       {}

// Whatever an endpoint sends, and however reads split it, the caller receives all complete events in
// order, and the stream counts as complete only if no partial event is left.
func FuzzStream(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"), false)
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\nda"), true)
	f.Add([]byte("\n\n\n"), true)
	f.Add([]byte(""), false)
	f.Fuzz(func(t *testing.T, data []byte, byteByByte bool) {
		picker := choice.NewPicker("z", choice.DefaultTuning())
		placement, ok := picker.Pick(choice.Request{Engines: []engine.Engine{{ID: "e"}}, Cap: 1, Now: time.Now()})
		require.True(t, ok)
		to := httptest.NewRecorder()
		s := &streamRelay{job: &job{Handler: New(Options{Metrics: silent{}}), w: to, start: time.Now(), pace: pace{placement: placement, sent: time.Now()}}}
		var from io.Reader = bytes.NewReader(data)
		if byteByByte {
			from = iotest.OneByteReader(from)
		}
		err := s.copy(context.Background(), from)
		end := bytes.LastIndex(data, eventEnd)
		whole := []byte{}
		if end >= 0 {
			whole = data[:end+len(eventEnd)]
		}
		assert.True(t, bytes.HasPrefix(data, to.Body.Bytes()), "bytes as they came")
		// the number of empty lines between events depends on how reads split the data
		assert.Equal(t, string(bytes.TrimRight(whole, "\n")), string(bytes.TrimRight(to.Body.Bytes(), "\n")))
		if len(bytes.Trim(data[len(whole):], "\n")) == 0 {
			assert.NoError(t, err)
		} else {
			assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
		}
	})
}
