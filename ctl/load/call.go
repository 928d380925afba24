package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tmaxmax/go-sse"

	"github.com/lynxshed/lynxshed/fleet/problem"
)

const (
	maxResponseBytes = 8 << 20
	endMarker        = "[DONE]"
	// callTimeout bounds a call, so that a run ends.
	callTimeout = 2 * time.Minute
)

// call is one request of a run.
type call struct {
	entry    MixEntry
	url      string
	key      string
	customer string
	prompt   string
	tokens   int
	direct   bool
}

type chunk struct {
	ID      string `json:"id"`
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Usage *struct {
		Total      int64 `json:"total_tokens"`
		Completion int64 `json:"completion_tokens"`
	} `json:"usage"`
}

func (c call) run(ctx context.Context, client *http.Client) answer {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	a := answer{entry: c.entry}
	start := time.Now()
	req, err := c.request(ctx)
	if err != nil {
		a.fault = err.Error()
		return a
	}
	res, err := client.Do(req)
	if err != nil {
		a.fault = err.Error()
		return a
	}
	defer res.Body.Close()
	a.request = res.Header.Get("Lynxshed-Request-Id")
	switch {
	case res.StatusCode != http.StatusOK:
		a.reason = refusalReason(res)
	case c.entry.Model:
		c.readStream(res.Body, start, &a)
	default:
		if err := readPlain(res); err != nil {
			a.fault = "request " + a.request + ": " + err.Error()
		}
		a.complete, a.first = a.fault == "", time.Since(start)
	}
	a.total = time.Since(start)
	return a
}

func (c call) request(ctx context.Context) (*http.Request, error) {
	if !c.entry.Model {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url+"/v1/services/"+c.entry.Service+"/lookup/1", nil)
		if err == nil {
			req.Header.Set("Authorization", "Bearer "+c.key)
		}
		return req, err
	}
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]%s}`, c.entry.Service, c.tokens, c.prompt, c.priorityField())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	if c.direct {
		req.Header.Set("Lynxshed-Request-Id", fmt.Sprintf("direct-%d", time.Now().UnixNano()))
	}
	return req, nil
}

// priorityField returns the JSON member of the priority, if one is set.
func (c call) priorityField() string {
	if c.entry.Priority == "" {
		return ""
	}
	return fmt.Sprintf(`,"priority":%q`, c.entry.Priority)
}

// refusalReason returns the reason and outcome of a problem, or the HTTP status.
func refusalReason(res *http.Response) string {
	var p problem.Problem
	if json.NewDecoder(io.LimitReader(res.Body, maxResponseBytes)).Decode(&p) == nil && p.Reason != "" {
		return string(p.Reason) + " (" + string(p.Outcome) + ")"
	}
	return res.Status
}

// readPlain returns an error if a plain answer is not complete. Of one that ends with its connection nobody
// can tell.
func readPlain(res *http.Response) error {
	if res.ContentLength < 0 && len(res.TransferEncoding) == 0 {
		return errors.New("the answer has neither a length nor chunks")
	}
	n, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxResponseBytes+1))
	if err != nil {
		return errors.Wrap(err, "the answer broke off")
	}
	if n > maxResponseBytes {
		return errors.Newf("the answer is over %d bytes", maxResponseBytes)
	}
	return nil
}

// readStream checks that an answer is complete: every token once and in order, the number of tokens in the
// usage, and the end marker.
func (c call) readStream(body io.Reader, start time.Time, a *answer) {
	lastToken, count := start, 0
	for event, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxResponseBytes}) {
		if err != nil {
			a.fault = err.Error()
			return
		}
		if event.Data == endMarker {
			a.complete = a.fault == "" && a.tokens > 0
			return
		}
		var received chunk
		if event.Type != "" || json.Unmarshal([]byte(event.Data), &received) != nil {
			a.fault = event.Type + " " + event.Data
			return
		}
		now := time.Now()
		for _, choice := range received.Choices {
			if choice.Delta.Content == "" {
				continue
			}
			if strings.TrimSpace(choice.Delta.Content) != fmt.Sprintf("t%d", count) || (!c.direct && received.ID != a.request) {
				a.fault = fmt.Sprintf("request %s: token %d reads %q of %s", a.request, count, choice.Delta.Content, received.ID)
			}
			count++
			if count == 1 {
				a.first = now.Sub(start)
			} else {
				a.between = append(a.between, now.Sub(lastToken))
			}
			lastToken = now
		}
		if received.Usage != nil {
			a.tokens = received.Usage.Total
			if received.Usage.Completion != int64(count) {
				a.fault = fmt.Sprintf("request %s: %d tokens came, %d are counted", a.request, count, received.Usage.Completion)
			}
		}
	}
	a.fault = "request " + a.request + ": the stream ended without its end mark"
}
