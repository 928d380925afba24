package forward

import (
	"bufio"
	"context"
	"io"
	"maps"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/clock"
	"github.com/lynxshed/lynxshed/fleet/relay/call"
	"github.com/lynxshed/lynxshed/fleet/relay/choice"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
)

// An endpoint may start again under its id and at its address with another version of its software,
// before its entry says so. A connection belongs to one incarnation. So each connection asks which
// incarnation runs before it serves a call: another one that is open may be of the incarnation before,
// and its end not read yet. A call is sent only to the incarnation that it was placed at.

// Incarnations knows which incarnations of endpoints run.
type Incarnations interface {
	// Tells reports whether an endpoint tells which incarnation runs, and whether that matters.
	Tells(e engine.Engine) bool
	// Identified records the birth that an endpoint told; it differs from that of its entry.
	Identified(e engine.Engine, born int64)
}

// identityTimeout bounds the question to an endpoint which incarnation runs.
const identityTimeout = 150 * time.Millisecond

// maxIdentityBytes bounds the answer to it.
const maxIdentityBytes = 256 << 10

var (
	// errRestarted ends an attempt whose endpoint has restarted since the call was placed there.
	errRestarted = errors.New("the endpoint has restarted since the call was placed there")
	// errUnidentified ends an attempt that resumes a stream at an endpoint that did not tell which
	// incarnation runs: its software may be of another version.
	errUnidentified = errors.New("the endpoint did not tell which incarnation runs, and its version may not be the one that began the stream")
)

// WithIncarnations makes the transport ask endpoints which incarnation runs. It must be called before
// WithMeter.
func (t *Transport) WithIncarnations(i Incarnations, w call.Wire) *Transport {
	t.incarnations, t.wire = i, w
	return t
}

// identify asks the endpoint of a new connection which incarnation runs. Without an answer it returns
// another one, whose incarnation is not known: the other connections to the endpoint that count as open may
// have ended, and the node not noticed.
func (t *Transport) identify(ctx context.Context, c *pooledConn, open func() (*pooledConn, error)) (*pooledConn, error) {
	e, ok := ctx.Value(endpointKey{}).(engine.Engine)
	if !ok || t.incarnations == nil || !t.incarnations.Tells(e) {
		return c, nil
	}
	born, err := t.ask(c.Conn, e.Address)
	if errors.Is(err, errNotReusable) {
		_ = c.Close()
		if c, err = open(); err != nil {
			return nil, err
		}
		born, err = t.ask(c.Conn, e.Address)
	}
	if err != nil {
		_ = c.Close()
		if c, err = open(); err != nil {
			return nil, err
		}
		t.pool.setUnidentified(c)
		return c, nil
	}
	if born != 0 && born != e.Born {
		t.incarnations.Identified(e, born)
	}
	t.pool.setBorn(c, lo.CoalesceOrEmpty(born, e.Born))
	return c, nil
}

// errNotReusable means that the endpoint closes the connection after it told which incarnation runs, as sound
// ones do now and then.
var errNotReusable = errors.New("the endpoint closes the connection after its report")

// errNotIdentified means that an endpoint did not tell which incarnation runs.
var errNotIdentified = errors.New("the endpoint did not tell which incarnation runs")

// ask asks the endpoint on a new connection which incarnation runs; 0 means that its software does not
// tell. After an error the connection must not be used.
func (t *Transport) ask(c net.Conn, address string) (born int64, err error) {
	timeout := clock.StartTimeout(identityTimeout, func() { _ = c.Close() })
	defer timeout.Stop()
	r, err := askReport(c, address, t.wire.IdentityPath(), http.Header{})
	switch {
	case err != nil:
		return 0, err
	case !r.reusable:
		return 0, errNotReusable
	case r.status == http.StatusNotFound, r.status == http.StatusMethodNotAllowed, r.status == http.StatusNotImplemented:
		return 0, nil
	case r.status != http.StatusOK:
		return 0, errors.Wrapf(errNotIdentified, "status %d", r.status)
	}
	return t.wire.ParseIdentity(r.body)
}

// report is an endpoint's answer to the question which incarnation runs.
type report struct {
	status   int
	body     []byte
	reusable bool // the connection may serve calls
}

// askReport asks the endpoint on a new connection for its report, with the given header.
func askReport(c net.Conn, address, path string, header http.Header) (report, error) {
	header["User-Agent"] = nil
	req := &http.Request{Method: http.MethodGet, URL: &url.URL{Path: path}, Host: address, Header: header}
	if err := req.Write(c); err != nil {
		return report{}, errors.Wrap(err, "identify")
	}
	reader := bufio.NewReader(io.LimitReader(c, maxIdentityBytes))
	resp, err := http.ReadResponse(reader, req)
	if err != nil {
		return report{}, errors.Wrap(err, "identify")
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err != nil {
		return report{}, errors.Wrap(err, "identify")
	}
	return report{status: resp.StatusCode, body: body, reusable: !resp.Close && reader.Buffered() == 0}, nil
}

// whyOtherIncarnation returns why a call may not be sent to the incarnation at the other end of its
// connection, or nil if it may.
func (j *job) whyOtherIncarnation(t *choice.Placement, used *connUse) error {
	j.conn = nil
	if used == nil || used.conn == nil {
		return nil
	}
	j.conn = used
	born, unidentified := used.incarnation()
	switch {
	case born != 0 && born != t.Engine.Born:
		return errRestarted
	case unidentified && j.began != nil:
		return errUnidentified
	}
	return nil
}

// streamVersion returns the version that the streams of the call's last attempt are of.
func (j *job) streamVersion(t *choice.Placement) string { return j.conn.streamVersion(t.Engine) }

// streamVersion returns the version that the streams on the call's connection to an endpoint are of: that of its
// entry only if the connection is of the entry's incarnation.
func (u *connUse) streamVersion(e engine.Engine) string {
	born, unidentified := u.incarnation()
	switch {
	case unidentified:
		return engine.UnreadVersion(engine.Incarnation{ID: e.ID})
	case born != 0 && born != e.Born:
		return engine.UnreadVersion(engine.Incarnation{ID: e.ID, Born: born})
	}
	return e.StreamVersion()
}

// toldBirth is a birth that the endpoint at an address told.
type toldBirth struct {
	born int64
	at   time.Time // when it told it first, with no other one since
}

// Bounds of what is kept of the births that endpoints tell.
const (
	maxTold         = 4096 // addresses whose last birth, or whose unidentified connections, are kept
	maxUnidentified = 256  // closed unidentified connections of an address, about
)

// setBorn records the birth that an endpoint told on a connection. If it told the same one before, the
// connections that were opened in between are of that incarnation, too.
func (p *pool) setBorn(c *pooledConn, born int64) {
	for _, notify := range p.settle(c, born) {
		notify()
	}
}

// settle identifies the connections that were opened between two times at which an endpoint told the same
// birth, also those that have been closed since. It returns the functions that wait for that.
func (p *pool) settle(c *pooledConn, born int64) []func() {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.told[c.address]
	if len(p.told) >= maxTold {
		clear(p.told)
	}
	told := toldBirth{born, clock.Now()}
	if before.born == born && !before.at.IsZero() {
		told.at = before.at // it has run since
	}
	c.born, p.told[c.address] = born, told
	var waiting []func()
	for other := range p.unidentified[c.address] {
		if !c.opened.After(other.opened) {
			continue // the next birth that is told decides
		}
		p.forgetUnidentified(other)
		if before.born == born && other.opened.After(before.at) {
			other.born, other.unidentified = born, false
			waiting = append(waiting, other.onIdentified...)
		}
		other.onIdentified = nil
	}
	return waiting
}

// whenIdentified calls a function once the call's connection turns out to be of the incarnation that its
// endpoint told before, at once if it already has.
func (u *connUse) whenIdentified(notify func()) {
	if u == nil || u.conn == nil || u.waitsForIdentity(notify) {
		return
	}
	notify()
}

// waitsForIdentity reports whether the call's connection is not identified yet, and then keeps a function to be
// called once it is.
func (u *connUse) waitsForIdentity(notify func()) bool {
	u.conn.pool.mu.Lock()
	defer u.conn.pool.mu.Unlock()
	if u.conn.unidentified {
		u.conn.onIdentified = append(u.conn.onIdentified, notify)
	}
	return u.conn.unidentified
}

// setUnidentified records that the endpoint of a connection did not tell which incarnation runs.
func (p *pool) setUnidentified(c *pooledConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.unidentified = true
	if p.unidentified[c.address] == nil {
		if len(p.unidentified) >= maxTold {
			clear(p.unidentified)
		}
		p.unidentified[c.address] = map[*pooledConn]bool{}
	}
	if len(p.unidentified[c.address]) >= maxUnidentified { // those that are open are few
		maps.DeleteFunc(p.unidentified[c.address], func(other *pooledConn, _ bool) bool { return !p.open[c.address][other] })
	}
	p.unidentified[c.address][c] = true
}

// forgetUnidentified removes a connection that is identified, or never will be. The lock is held.
func (p *pool) forgetUnidentified(c *pooledConn) {
	delete(p.unidentified[c.address], c)
	if len(p.unidentified[c.address]) == 0 {
		delete(p.unidentified, c.address)
	}
}

// isUnidentified reports whether the endpoint of the call's connection did not tell which incarnation runs.
func (u *connUse) isUnidentified() bool {
	_, unidentified := u.incarnation()
	return unidentified
}

// incarnation returns the birth of the incarnation at the other end of the call's connection, 0 if it is not
// known, and whether that is since the endpoint did not tell.
func (u *connUse) incarnation() (born int64, unidentified bool) {
	if u == nil || u.conn == nil {
		return 0, false
	}
	u.conn.pool.mu.Lock()
	defer u.conn.pool.mu.Unlock()
	return u.conn.born, u.conn.unidentified
}

// Read implements net.Conn. It fails at a head that net/http misreads.
func (c *pooledConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if misread := c.heads.Read(b[:n]); misread != nil {
		return 0, misread
	}
	return n, err
}
