package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"iter"
	"net/http"
	"net/url"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/tmaxmax/go-sse"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/lynxshed/lynxshed/fleet/holder"
	"github.com/lynxshed/lynxshed/fleet/ident"
	"github.com/lynxshed/lynxshed/fleet/response"
)

const (
	endMarker = "[DONE]"
	// finishCancelled is the finish reason of a cancelled run, whose answer is incomplete.
	finishCancelled = "cancelled"
	// maxEventBytes bounds an event.
	maxEventBytes = 64 << 10
)

// Message is a message of a chat, in the OpenAI format.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Completion is the body of a chat completion request to an engine. The answer is
// always streamed.
type Completion struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens int64     `json:"max_tokens"`
	Stream    bool      `json:"stream"`
	Priority  string    `json:"priority"`
}

// Chunk is one event of an engine's stream.
type Chunk struct {
	Data string
	// Usage is set only on the last chunk before the end marker.
	Usage *holder.Usage
	// Done reports whether this is the end marker.
	Done bool
}

// Stream is the streamed answer of an engine.
type Stream struct {
	body    io.ReadCloser
	attempt holder.Attempt
}

// Close stops reading. It does not cancel the attempt at the engine.
func (s *Stream) Close() { _ = s.body.Close() }

// Start sends an attempt to its engine and returns the stream of its answer.
func (c *Client) Start(ctx context.Context, a holder.Attempt, id ident.Request, customer ident.Customer, q Completion) (*Stream, error) {
	ctx, span := c.tracer.Start(ctx, "endpoint "+string(a.Endpoint), trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.Int("attempt", a.Number)))
	defer span.End()
	body, err := json.Marshal(q)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "step send, peer %s", a.Endpoint), ErrNotStarted)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, a.URL+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "step send, peer %s", a.Endpoint), ErrNotStarted)
	}
	req.Header.Set("Content-Type", "application/json")
	setHeaders(req, a, id, customer)
	return c.openStream(req, a, id)
}

// Resume opens the stream of an attempt again, starting at a chunk number.
func (c *Client) Resume(ctx context.Context, a holder.Attempt, id ident.Request, from int) (*Stream, error) {
	query := url.Values{"attempt": {strconv.Itoa(a.Number)}, "from": {strconv.Itoa(from)}}
	target := a.URL + "/v1/streams/" + url.PathEscape(string(id)) + "?" + query.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, errors.Wrapf(err, "step resume, peer %s", a.Endpoint)
	}
	setHeaders(req, a, id, "")
	return c.openStream(req, a, id)
}

func (c *Client) openStream(req *http.Request, a holder.Attempt, id ident.Request) (*Stream, error) {
	res, err := c.http.Do(req)
	if err != nil {
		return nil, sendError(err, a)
	}
	if res.StatusCode != http.StatusOK {
		return nil, statusError(res, a)
	}
	if err := response.CheckEncoding(res.Header, nil); err != nil {
		_ = res.Body.Close()
		return nil, errors.Mark(errors.Wrapf(err, "step send, peer %s", a.Endpoint), ErrMalformed)
	}
	gotID, gotAttempt := res.Header.Get(HeaderRequest), res.Header.Get(HeaderAttempt)
	if (gotID != "" && gotID != string(id)) || (gotAttempt != "" && gotAttempt != strconv.Itoa(a.Number)) {
		_ = res.Body.Close()
		return nil, errors.Mark(errors.Newf("step send, peer %s: answer for %q attempt %q", a.Endpoint, gotID, gotAttempt), ErrWrongAttempt)
	}
	return &Stream{body: res.Body, attempt: a}, nil
}

func statusError(res *http.Response, a holder.Attempt) error {
	defer res.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(res.Body, maxErrorBytes))
	err := errors.Newf("step send, peer %s: status %d: %s", a.Endpoint, res.StatusCode, bytes.TrimSpace(text))
	switch {
	case res.StatusCode == http.StatusServiceUnavailable || res.StatusCode == http.StatusTooManyRequests || res.StatusCode == http.StatusNotFound:
		return errors.Mark(err, ErrNotStarted)
	case res.StatusCode >= http.StatusBadRequest && res.StatusCode < http.StatusInternalServerError:
		return errors.Mark(err, ErrRejected)
	default:
		return err
	}
}

// usageMarker occurs only in the last chunk, so that the others need not be decoded.
var usageMarker = []byte(`"usage":{`)

type lastChunk struct {
	Choices []struct {
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens     int64 `json:"prompt_tokens"`
		CompletionTokens int64 `json:"completion_tokens"`
	} `json:"usage"`
}

// Chunks yields the chunks of the stream up to and including the end marker, or up to an
// error. A stream without an end marker ends with ErrTruncated.
func (s *Stream) Chunks() iter.Seq2[Chunk, error] {
	return func(yield func(Chunk, error) bool) {
		defer s.Close()
		for event, err := range sse.Read(s.body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
			if err != nil {
				yield(Chunk{}, errors.Mark(errors.Wrapf(err, "step stream, peer %s", s.attempt.Endpoint), ErrTruncated))
				return
			}
			chunk, err := readChunk(event.Data)
			if err != nil {
				yield(Chunk{}, errors.Wrapf(err, "step stream, peer %s", s.attempt.Endpoint))
				return
			}
			if !yield(chunk, nil) || chunk.Done {
				return
			}
		}
		yield(Chunk{}, errors.Wrapf(ErrTruncated, "step stream, peer %s", s.attempt.Endpoint))
	}
}

func readChunk(data string) (Chunk, error) {
	if data == endMarker {
		return Chunk{Done: true}, nil
	}
	raw := []byte(data)
	if !json.Valid(raw) {
		return Chunk{}, ErrMalformed
	}
	chunk := Chunk{Data: data}
	if !bytes.Contains(raw, usageMarker) {
		return chunk, nil
	}
	var last lastChunk
	if err := json.Unmarshal(raw, &last); err != nil || last.Usage == nil {
		return Chunk{}, errors.Mark(errors.Newf("usage: %v", err), ErrMalformed)
	}
	if last.Usage.PromptTokens < 0 || last.Usage.CompletionTokens < 0 {
		return Chunk{}, errors.Mark(errors.New("usage: negative tokens"), ErrMalformed)
	}
	for _, c := range last.Choices {
		if c.FinishReason == finishCancelled {
			return Chunk{}, errors.Mark(errors.New("the run was cancelled at the engine"), ErrTruncated)
		}
	}
	chunk.Usage = &holder.Usage{Prompt: last.Usage.PromptTokens, Output: last.Usage.CompletionTokens}
	return chunk, nil
}
