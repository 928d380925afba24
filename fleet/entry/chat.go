package entry

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"unicode/utf8"

	"github.com/cockroachdb/errors"

	"github.com/lynxshed/lynxshed/fleet/backend"
	"github.com/lynxshed/lynxshed/fleet/catalog"
	"github.com/lynxshed/lynxshed/fleet/problem"
)

const (
	maxMessages = 2048
	// messageOverhead and promptOverhead are upper bounds of the tokens that a chat template
	// adds per message and per prompt.
	messageOverhead = 16
	promptOverhead  = 16
)

// chatBody is the body of a caller's chat completion request. It lists all supported fields,
// including those that are accepted and ignored, so that misspelt ones can be refused. Values that are
// ignored stay text: decoded ones may take many times as much memory.
type chatBody struct {
	Model       string          `json:"model"`
	Messages    chatMessages    `json:"messages"`
	MaxTokens   *int64          `json:"max_tokens"`
	MaxOutput   *int64          `json:"max_completion_tokens"`
	Stream      bool            `json:"stream"`
	Priority    string          `json:"priority"`
	N           *int64          `json:"n"`
	StreamOpts  json.RawMessage `json:"stream_options"`
	Temperature *float64        `json:"temperature"`
	TopP        *float64        `json:"top_p"`
	Stop        json.RawMessage `json:"stop"`
	Seed        *int64          `json:"seed"`
	User        string          `json:"user"`
	Frequency   *float64        `json:"frequency_penalty"`
	Presence    *float64        `json:"presence_penalty"`
	Metadata    json.RawMessage `json:"metadata"`
}

// chatMessages are at most maxMessages messages. Further ones are not decoded.
type chatMessages []chatMessage

// errMessages is the error of decoding too many messages.
var errMessages = errors.New("field messages: want 1 to 2048 messages")

// UnmarshalJSON implements json.Unmarshaler.
func (m *chatMessages) UnmarshalJSON(data []byte) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if data[0] != '[' {
		return decoder.Decode((*[]chatMessage)(m)) // null, or an error
	}
	*m = nil               // of a field that is given twice, the last one counts
	_, _ = decoder.Token() // the bracket
	for decoder.More() {
		if len(*m) == maxMessages {
			return errMessages
		}
		var message chatMessage
		if err := decoder.Decode(&message); err != nil {
			return inMessages(err)
		}
		*m = append(*m, message)
	}
	return nil
}

// inMessages names the field messages in the error of one of them.
func inMessages(err error) error {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		typeErr.Field = strings.TrimSuffix("messages."+typeErr.Field, ".")
	}
	return err
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
	Name    string `json:"name,omitempty"`
}

// chatCall is a validated chat completion.
type chatCall struct {
	headers
	service  catalog.Service
	model    catalog.Model
	body     backend.Completion
	stream   bool
	priority catalog.Priority
	cap      int64 // maximum output tokens
	bound    int64 // maximum tokens of prompt and output
	hash     string
}

func (e *Entry) readChat(w http.ResponseWriter, r *http.Request, m *callMemory) (chatCall, *problem.Problem) {
	h, refusal := e.readHeaders(r)
	if refusal != nil {
		return chatCall{}, refusal
	}
	data, refusal := e.readBody(w, r, h, m)
	if refusal != nil {
		return chatCall{}, refusal
	}
	decoded := int64(len(data)) // the strings in the body are copied
	if !m.lease.Take(decoded) {
		return chatCall{}, problem.New(problem.NoMemory, "no memory to decode the body")
	}
	m.bytes += decoded
	var body chatBody
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&body); err != nil {
		return chatCall{}, badBody(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return chatCall{}, problem.New(problem.BadBody, "body: there is more than one JSON value")
	}
	return e.checkChat(h, body, data)
}

func badBody(err error) *problem.Problem {
	if errors.Is(err, errMessages) {
		return problem.New(problem.BadBody, err.Error())
	}
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return problem.New(problem.BadBody, "body: field "+typeErr.Field+": want "+typeErr.Type.String()+", not "+typeErr.Value)
	}
	return problem.New(problem.BadBody, "body: "+strings.TrimPrefix(err.Error(), "json: "))
}

func (e *Entry) checkChat(h headers, body chatBody, data []byte) (chatCall, *problem.Problem) {
	if !utf8.Valid(data) {
		return chatCall{}, problem.New(problem.BadBody, "body: not UTF-8")
	}
	c := e.Catalog()
	model, ok := c.Model(body.Model)
	if !ok {
		return chatCall{}, problem.New(problem.UnknownModel, "field model: there is no model "+quote(body.Model))
	}
	service, ok := c.Service(model.Service)
	if !ok || !service.Model {
		return chatCall{}, problem.New(problem.UnknownModel, "field model: the model's service "+quote(string(model.Service))+" runs no models")
	}
	if refusal := checkMessages(body); refusal != nil {
		return chatCall{}, refusal
	}
	call := chatCall{headers: h, service: service, model: model, stream: body.Stream, hash: hashCall("chat", data)}
	var refusal *problem.Problem
	if call.cap, refusal = outputCap(body, model); refusal != nil {
		return chatCall{}, refusal
	}
	if call.priority, refusal = priorityOf(body.Priority, service); refusal != nil {
		return chatCall{}, refusal
	}
	call.body = backend.Completion{Model: body.Model, MaxTokens: call.cap, Stream: true, Priority: string(call.priority)}
	for _, m := range body.Messages {
		call.body.Messages = append(call.body.Messages, backend.Message{Role: m.Role, Content: m.Content})
	}
	call.bound = promptBound(body.Messages, model) + call.cap
	return call, nil
}

func quote(s string) string { return `"` + s + `"` }

func checkMessages(body chatBody) *problem.Problem {
	if len(body.Messages) == 0 || len(body.Messages) > maxMessages {
		return problem.New(problem.BadBody, errMessages.Error())
	}
	for _, m := range body.Messages {
		if m.Role == "" {
			return problem.New(problem.BadBody, "field messages: a message has no role")
		}
	}
	if body.N != nil && *body.N != 1 {
		return problem.New(problem.BadBody, "field n: only 1 answer is given")
	}
	return nil
}

// outputCap returns the maximum number of output tokens: what the caller asked for, limited
// by the model's row.
func outputCap(body chatBody, model catalog.Model) (int64, *problem.Problem) {
	asked := body.MaxTokens
	if asked == nil {
		asked = body.MaxOutput
	}
	if asked == nil {
		return model.MaxOutputTokens, nil
	}
	if *asked < 1 || *asked > 1<<31 {
		return 0, problem.New(problem.BadBody, "field max_tokens: want a whole number from 1 to 2147483648")
	}
	return min(*asked, model.MaxOutputTokens), nil
}

// priorityOf returns the service's priority, or batch if the caller asks for it. A caller
// can't raise its priority above that of the service.
func priorityOf(asked string, s catalog.Service) (catalog.Priority, *problem.Problem) {
	switch catalog.Priority(asked) {
	case "":
		return s.Priority, nil
	case catalog.Interactive:
		return s.Priority, nil
	case catalog.Batch:
		return catalog.Batch, nil
	default:
		return "", problem.New(problem.BadBody, "field priority: want interactive or batch")
	}
}

// promptBound returns an upper bound of the prompt's tokens. No tokenizer produces more tokens
// than bytes, and the model's row may guarantee more bytes per token.
func promptBound(messages []chatMessage, model catalog.Model) int64 {
	bound := int64(promptOverhead)
	for _, m := range messages {
		size := int64(len(m.Role) + len(m.Content) + len(m.Name))
		bound += (size+model.MinBytesPerToken-1)/model.MinBytesPerToken + messageOverhead
	}
	return bound
}

func hashCall(kind string, data []byte) string {
	sum := sha256.New()
	sum.Write([]byte(kind))
	sum.Write([]byte{0})
	sum.Write(data)
	return hex.EncodeToString(sum.Sum(nil)[:16])
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelInfo `json:"data"`
}

type modelInfo struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

func (e *Entry) serveModels(w http.ResponseWriter, r *http.Request) {
	if _, refusal := e.authenticate(r); refusal != nil {
		e.refuse(w, r, refusal)
		return
	}
	list := modelList{Object: "list", Data: []modelInfo{}}
	for _, m := range e.Catalog().Models() {
		list.Data = append(list.Data, modelInfo{ID: m.Name, Object: "model", OwnedBy: "lynxshed"})
	}
	writeJSON(w, http.StatusOK, list)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
