// Package link measures how full a VM's network link is, by the bytes that its
// connections carry either way.
package link

import (
	"net"
	"sync/atomic"
	"time"
)

// Meter counts the bytes of connections. It is safe for concurrent use.
type Meter struct {
	perSecond float64 // bytes that the link carries either way; 0 is not known
	in, out   atomic.Int64
	pacer     *Pacer
}

// NewMeter returns a meter of a link of so many Mbit/s; 0 is not known.
func NewMeter(mbps float64) *Meter {
	const bytesPerMbit = 1e6 / 8
	perSecond := mbps * bytesPerMbit
	return &Meter{perSecond: perSecond, pacer: NewPacer(perSecond)}
}

// Known is whether the width of the link is known.
func (m *Meter) Known() bool { return m.perSecond > 0 }

// Use is which share of a link was used, either way.
type Use struct{ In, Out float64 }

// Fuller is the share of the way that is fuller.
func (u Use) Fuller() float64 { return max(u.In, u.Out) }

// Reader tells the use since it was last asked. It is for one goroutine.
type Reader struct {
	meter   *Meter
	in, out int64
	at      time.Time
}

// Reader returns a reader whose first reading covers the time from now on.
func (m *Meter) Reader() *Reader {
	return &Reader{meter: m, in: m.in.Load(), out: m.out.Load(), at: time.Now()}
}

// Read returns the use since the last reading; none where the width is not known.
func (r *Reader) Read() Use {
	now, in, out := time.Now(), r.meter.in.Load(), r.meter.out.Load()
	could := now.Sub(r.at).Seconds() * r.meter.perSecond
	u := Use{}
	if could > 0 {
		u = Use{In: float64(in-r.in) / could, Out: float64(out-r.out) / could}
	}
	r.at, r.in, r.out = now, in, out
	return u
}

// Waited is how many writes have had to wait for the way out.
func (m *Meter) Waited() int64 { return m.pacer.Waited() }

// Conn counts what a connection carries, and lets what is written to it wait its turn
// where the way out is full: as answers, unless Classify says otherwise.
func (m *Meter) Conn(c net.Conn) *Conn { return &Conn{Conn: c, meter: m} }

// Conn is a connection whose bytes are counted and paced.
type Conn struct {
	net.Conn
	meter *Meter
	class atomic.Int32
}

// Classify says what is written from now on.
func (c *Conn) Classify(to Class) { c.class.Store(int32(to)) }

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.meter.in.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	c.meter.pacer.Wait(len(b), Class(c.class.Load()))
	n, err := c.Conn.Write(b)
	c.meter.out.Add(int64(n))
	return n, err
}

// CloseWrite ends one way, where the connection can: a server that refuses a call before
// it has read its body does so, so that the caller reads the answer and no reset.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
