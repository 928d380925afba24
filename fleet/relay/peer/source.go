package peer

import (
	"bytes"
	"cmp"
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/clock"
	"github.com/lynxshed/lynxshed/fleet/relay/dial"
	"github.com/lynxshed/lynxshed/fleet/relay/store"
)

// Nodes that watch the store pass its objects on to those that do not, as JSON over HTTP at
// the address of their datagrams.

// objectsPath is the path at which a node answers for the store; the kind follows.
const objectsPath = "/objects/"

// objectsAnswer is the JSON form of a list or of the events of a watch.
type objectsAnswer struct {
	Revision int64        `json:"revision"`
	Era      int64        `json:"era,omitempty"` // of every revision in the answer; 0 from an earlier build, or if the store reports none
	Objects  []objectForm `json:"objects,omitempty"`
	Events   []changeForm `json:"events,omitempty"`
	AgeMs    int64        `json:"ageMs,omitempty"` // since the store confirmed the content; 0 from an earlier build
}

type objectForm struct {
	Name     string          `json:"name"`
	Revision int64           `json:"revision"`
	Made     int64           `json:"made,omitempty"`
	Data     json.RawMessage `json:"data,omitempty"`
	Status   json.RawMessage `json:"status,omitempty"`
	Fault    string          `json:"fault,omitempty"` // why it can't be decoded, so that the receiver drops it too
}

type changeForm struct {
	Object objectForm `json:"object"`
	Gone   bool       `json:"gone,omitempty"`
}

func formOf(o store.Object) objectForm {
	return objectForm{Name: o.Name, Revision: o.Revision.Number(), Made: o.Made, Data: o.Data, Status: o.Status, Fault: o.Fault}
}

func (f objectForm) object(kind string, era int64) store.Object {
	return store.Object{Kind: kind, Name: f.Name, Revision: store.At(era, f.Revision), Made: f.Made, Data: f.Data, Status: f.Status, Fault: f.Fault}
}

// maxWatchWait limits how long a peer's watch waits.
const maxWatchWait = 5 * time.Second

// CacheHandler answers peers' lists and watches from this node's caches, keyed by kind.
func CacheHandler(caches map[string]*store.Cache) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+objectsPath+"{kind}", func(w http.ResponseWriter, r *http.Request) {
		cache, ok := caches[r.PathValue("kind")]
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		serveCache(w, r, cache)
	})
	return mux
}

func serveCache(w http.ResponseWriter, r *http.Request, cache *store.Cache) {
	answer, err := askCache(r, cache)
	switch {
	case errors.Is(err, store.ErrCompacted):
		w.WriteHeader(http.StatusGone)
	case errors.Is(err, store.ErrUnfit):
		w.WriteHeader(http.StatusServiceUnavailable)
	case err != nil:
		w.WriteHeader(http.StatusBadRequest)
	default:
		writeAnswer(w, r, formOfAnswer(answer))
	}
}

// minCompressed is the size from which an answer is compressed: a large configuration
// shrinks to a tenth, and is sent to many peers over narrow links.
const minCompressed = 8 << 10 // bytes

func writeAnswer(w http.ResponseWriter, r *http.Request, answer objectsAnswer) {
	w.Header().Set("Content-Type", "application/json")
	data, err := encodeAnswer(answer)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if len(data) < minCompressed || !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		_, _ = w.Write(data) // fails only if the peer left
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	compressed, err := gzip.NewWriterLevel(w, gzip.BestSpeed)
	if err != nil {
		return
	}
	_, _ = compressed.Write(data)
	_ = compressed.Close()
}

// encodeAnswer encodes an answer without escaping HTML, which would make entries up to six times as long.
func encodeAnswer(answer objectsAnswer) ([]byte, error) {
	var data bytes.Buffer
	encoder := json.NewEncoder(&data)
	encoder.SetEscapeHTML(false)
	err := encoder.Encode(answer)
	return data.Bytes(), err
}

// Bounds of an answer, which the receiver reads up to maxAnswer.
const (
	maxPassedOn    = 7 << 20 // bytes of all objects
	objectOverhead = 128     // bytes of an object beside its texts
)

func (f objectForm) size() int {
	return len(f.Name) + len(f.Data) + len(f.Status) + len(f.Fault) + objectOverhead
}

// dropLargest makes the largest objects ones that can't be decoded, until all of them together fit
// an answer. Otherwise one writer's large objects would cost the receiver all the others.
func dropLargest(objects []*objectForm) {
	total := lo.SumBy(objects, func(o *objectForm) int { return o.size() })
	if total <= maxPassedOn {
		return // the common case
	}
	slices.SortStableFunc(objects, func(a, b *objectForm) int { return cmp.Compare(b.size(), a.size()) })
	for _, o := range objects {
		if total <= maxPassedOn {
			return
		}
		total -= o.size()
		o.Fault = fmt.Sprintf("%d bytes are too many to be passed on beside others", len(o.Data)+len(o.Status))
		o.Data, o.Status = nil, nil
		total += o.size()
	}
}

// askCache lists, or watches if the query names a revision.
func askCache(r *http.Request, cache *store.Cache) (store.Answer, error) {
	query := r.URL.Query()
	minOrigin := store.FromWatcher
	if query.Has(firsthand) {
		minOrigin = store.FromStore
	}
	if !query.Has("since") {
		return cache.ListFrom(minOrigin)
	}
	since, err := strconv.ParseInt(query.Get("since"), 10, 64)
	if err != nil {
		return store.Answer{}, errors.Wrap(err, "since")
	}
	era, err := sinceEra(query, cache)
	if err != nil {
		return store.Answer{}, err
	}
	ms, err := strconv.ParseInt(query.Get("waitMs"), 10, 64)
	if err != nil {
		return store.Answer{}, errors.Wrap(err, "waitMs")
	}
	wait := min(max(clock.Milliseconds(ms), 0), maxWatchWait)
	return cache.WatchFrom(r.Context(), minOrigin, store.At(era, since), wait)
}

func formOfAnswer(a store.Answer) objectsAnswer {
	form := objectsAnswer{Revision: a.Revision.Number(), Era: a.Revision.Era(), AgeMs: clock.Since(a.Confirmed).Milliseconds()}
	for _, o := range a.Objects {
		form.Objects = append(form.Objects, formOf(o))
	}
	for _, e := range a.Events {
		form.Events = append(form.Events, changeForm{Object: formOf(e.Object), Gone: e.Gone})
	}
	objects := lo.Map(form.Objects, func(_ objectForm, i int) *objectForm { return &form.Objects[i] })
	events := lo.Map(form.Events, func(_ changeForm, i int) *objectForm { return &form.Events[i].Object })
	dropLargest(append(objects, events...))
	return form
}

// answer returns the decoded answer, which began to arrive at a time.
func (f objectsAnswer) answer(kind string, began time.Time) store.Answer {
	age := time.Duration(min(max(f.AgeMs, 0), maxAgeMs)) * time.Millisecond
	a := store.Answer{Revision: store.At(f.Era, f.Revision), Confirmed: began.Add(-age)}
	for _, o := range f.Objects {
		a.Objects = append(a.Objects, o.object(kind, f.Era))
	}
	for _, e := range f.Events {
		a.Events = append(a.Events, store.Event{Object: e.Object.object(kind, f.Era), Gone: e.Gone})
	}
	return a
}

// maxAgeMs bounds the age in a peer's answer, so that it fits a duration.
const maxAgeMs = 24 * 3600 * 1000

// sinceEra returns the era of the revision that a watch names. A peer of an earlier build
// names none, and means the era in which this node answered it.
func sinceEra(query url.Values, cache *store.Cache) (int64, error) {
	if !query.Has(eraQuery) {
		return cache.Revision().Era(), nil
	}
	era, err := strconv.ParseInt(query.Get(eraQuery), 10, 64)
	return era, errors.Wrap(err, eraQuery)
}

// eraQuery is the query parameter with the era of a watch's revision.
const eraQuery = "era"

// firsthand is the query parameter by which a node that passes on its answers asks only for
// what the peer has from the store itself.
const firsthand = "firsthand"

// Remote is a store.Reader that asks one peer instead of the store.
type Remote struct {
	client    *http.Client
	address   string
	firsthand bool        // asks only for what the peer has from the store itself
	busy      func() bool // reports whether this node's link is busy
	eras      *store.Eras // known to this node
	anyEra    bool        // answers of an earlier era count too
}

var _ store.Reader = Remote{}

// sourceClient returns the HTTP client for peers' caches. Calls set their own timeouts.
func sourceClient(busy func() bool) *http.Client {
	dialer, busyDialer := dial.New(dial.Timeout), dial.New(busySlack)
	connect := func(ctx context.Context, network, address string) (net.Conn, error) {
		if busy() {
			return busyDialer.DialContext(ctx, network, address)
		}
		return dialer.DialContext(ctx, network, address)
	}
	return &http.Client{Transport: &http.Transport{DialContext: connect, MaxIdleConnsPerHost: 4, IdleConnTimeout: 20 * time.Second, MaxResponseHeaderBytes: dial.MaxHeadBytes}}
}

// errSilent cancels a call whose answer does not begin in time.
var errSilent = errors.New("the peer did not begin to answer in time")

// slack returns how long an answer may take to begin, beyond the wait of a watch.
func (r Remote) slack() time.Duration {
	if r.busy() {
		return busySlack
	}
	return store.AnswerTimeout
}

const (
	// busySlack is the timeout for connecting, and until an answer begins, while this node's
	// link is busy: a delay of 0.4 s there is no evidence against the source, and otherwise all
	// sources would count as silent at once.
	busySlack = 900 * time.Millisecond
	maxAnswer = 8 << 20 // bytes of a peer's answer
)

// List implements store.Reader.
func (r Remote) List(ctx context.Context, kind string) (store.Answer, error) {
	return r.get(ctx, kind, url.Values{}, 0)
}

// Watch implements store.Reader.
func (r Remote) Watch(ctx context.Context, kind string, since store.Revision, wait time.Duration) (store.Answer, error) {
	return r.get(ctx, kind, url.Values{"since": {strconv.FormatInt(since.Number(), 10)}, eraQuery: {strconv.FormatInt(since.Era(), 10)}, "waitMs": {strconv.FormatInt(wait.Milliseconds(), 10)}}, wait)
}

func (r Remote) get(ctx context.Context, kind string, query url.Values, wait time.Duration) (store.Answer, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := clock.StartTimeout(wait+r.slack(), func() { cancel(errSilent) })
	defer timer.Stop()
	if r.firsthand {
		query.Set(firsthand, "")
	}
	target := url.URL{Scheme: "http", Host: r.address, Path: objectsPath + kind, RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return store.Answer{}, errors.Wrapf(err, "ask peer %s", r.address)
	}
	resp, err := r.client.Do(req)
	if err != nil {
		err = errors.Wrapf(cmp.Or(context.Cause(ctx), err), "ask peer %s", r.address)
		r.dropIdleIfSilent(err)
		return store.Answer{}, err
	}
	timer.Stop()
	defer resp.Body.Close()
	began := clock.Now()
	form, err := r.read(resp)
	if err != nil {
		return store.Answer{}, err
	}
	return form.answer(kind, began), nil
}

// dropIdleIfSilent closes the idle connections to peers if a peer did not answer in time: they may be
// silent too, and each would cost a call, while new ones work.
func (r Remote) dropIdleIfSilent(err error) {
	if errors.Is(err, errSilent) || errors.Is(err, context.DeadlineExceeded) {
		r.client.CloseIdleConnections()
	}
}

// read decodes a peer's answer.
func (r Remote) read(resp *http.Response) (objectsAnswer, error) {
	var form objectsAnswer
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusGone:
		return form, store.ErrCompacted
	case http.StatusServiceUnavailable:
		return form, errors.Wrapf(store.ErrUnfit, "peer %s", r.address)
	default:
		return form, errors.Newf("peer %s: status %d", r.address, resp.StatusCode)
	}
	form, err := decodeAnswer(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return form, errors.Wrapf(err, "answer of peer %s", r.address)
	}
	return r.inEra(form)
}

// decodeAnswer decodes a whole answer, of which the revision is mandatory.
func decodeAnswer(body io.Reader) (objectsAnswer, error) {
	var form struct {
		objectsAnswer
		Revision *int64 `json:"revision"`
	}
	decoder := json.NewDecoder(body)
	if err := decoder.Decode(&form); err != nil {
		return objectsAnswer{}, err
	}
	if form.Revision == nil {
		return objectsAnswer{}, errors.New("it has no revision")
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return objectsAnswer{}, errors.New("it does not end after its value")
	}
	form.objectsAnswer.Revision = *form.Revision
	return form.objectsAnswer, nil
}

// inEra checks an answer's era and fills it in. A peer of an earlier build sends none: its
// answer counts as of the known era, unless the store was restored from a backup since this
// node started, which the peer may not know.
func (r Remote) inEra(answer objectsAnswer) (objectsAnswer, error) {
	switch newest := r.eras.Newest(); {
	case answer.Era == 0 && r.eras.Risen(), answer.Era != 0 && answer.Era < newest && !r.anyEra:
		return answer, errors.Wrapf(store.ErrUnfit, "peer %s answers from era %d, %d is known", r.address, answer.Era, newest)
	case answer.Era == 0:
		answer.Era = newest
	default:
		r.eras.Observe(answer.Era)
	}
	return answer, nil
}
