package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/tmaxmax/go-sse"

	"github.com/lynxshed/lynxshed/fleet/problem"
)

const (
	maxAnswer = 8 << 20
	endMark   = "[DONE]"
	// callTime bounds one call, so that a run ends.
	callTime = 2 * time.Minute
)

// call is one request to make.
type call struct {
	part     Part
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
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	a := answer{part: c.part}
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
		a.reason = reasonOf(res)
	case c.part.Model:
		c.readStream(res.Body, start, &a)
	default:
		_, err = io.Copy(io.Discard, io.LimitReader(res.Body, maxAnswer))
		a.whole, a.first = err == nil, time.Since(start)
	}
	a.total = time.Since(start)
	return a
}

func (c call) request(ctx context.Context) (*http.Request, error) {
	if !c.part.Model {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url+"/v1/services/"+c.part.Service+"/lookup/1", nil)
		if err == nil {
			req.Header.Set("Authorization", "Bearer "+c.key)
		}
		return req, err
	}
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]%s}`, c.part.Service, c.tokens, c.prompt, c.priority())
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

func (c call) priority() string {
	if c.part.Priority == "" {
		return ""
	}
	return fmt.Sprintf(`,"priority":%q`, c.part.Priority)
}

func reasonOf(res *http.Response) string {
	var p problem.Problem
	if json.NewDecoder(io.LimitReader(res.Body, maxAnswer)).Decode(&p) == nil && p.Reason != "" {
		return string(p.Reason) + " (" + string(p.Outcome) + ")"
	}
	return res.Status
}

// readStream holds the answer against what a whole one must be: every token
// once and in order, the token count, and the end mark.
func (c call) readStream(body io.Reader, start time.Time, a *answer) {
	last, count := start, 0
	for event, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxAnswer}) {
		if err != nil {
			a.fault = err.Error()
			return
		}
		if event.Data == endMark {
			a.whole = a.fault == "" && a.tokens > 0
			return
		}
		var piece chunk
		if event.Type != "" || json.Unmarshal([]byte(event.Data), &piece) != nil {
			a.fault = event.Type + " " + event.Data
			return
		}
		now := time.Now()
		for _, choice := range piece.Choices {
			if choice.Delta.Content == "" {
				continue
			}
			if strings.TrimSpace(choice.Delta.Content) != fmt.Sprintf("t%d", count) || (!c.direct && piece.ID != a.request) {
				a.fault = fmt.Sprintf("request %s: token %d reads %q of %s", a.request, count, choice.Delta.Content, piece.ID)
			}
			count++
			if count == 1 {
				a.first = now.Sub(start)
			} else {
				a.between = append(a.between, now.Sub(last))
			}
			last = now
		}
		if piece.Usage != nil {
			a.tokens = piece.Usage.Total
			if piece.Usage.Completion != int64(count) {
				a.fault = fmt.Sprintf("request %s: %d tokens came, %d are counted", a.request, count, piece.Usage.Completion)
			}
		}
	}
	a.fault = "request " + a.request + ": the stream ended without its end mark"
}
