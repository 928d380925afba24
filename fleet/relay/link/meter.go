// Package link measures the utilization of a VM's network link by the bytes of its connections in
// each direction, and paces what is written to it.
package link

import (
	"net"
	"sync/atomic"
	"time"
)

// Meter counts the bytes of connections. It is safe for concurrent use.
type Meter struct {
	perSecond float64 // capacity of each direction in bytes; 0: unknown
	in, out   atomic.Int64
	pacer     *Pacer
}

// NewMeter returns a meter of a link with a capacity in Mbit/s; 0 means unknown.
func NewMeter(mbps float64) *Meter {
	const bytesPerMbit = 1e6 / 8
	perSecond := mbps * bytesPerMbit
	return &Meter{perSecond: perSecond, pacer: NewPacer(perSecond)}
}

// Known reports whether the capacity of the link is known.
func (m *Meter) Known() bool { return m.perSecond > 0 }

// Utilization is the share of a link's capacity that was used in each direction.
type Utilization struct{ In, Out float64 }

// Max returns the utilization of the busier direction.
func (u Utilization) Max() float64 { return max(u.In, u.Out) }

// Reader returns the utilization since its last reading. It is not safe for concurrent use.
type Reader struct {
	meter   *Meter
	in, out int64
	at      time.Time
}

// Reader returns a reader whose first reading starts now.
func (m *Meter) Reader() *Reader {
	return &Reader{meter: m, in: m.in.Load(), out: m.out.Load(), at: time.Now()}
}

// Read returns the utilization since the last reading, or zero if the capacity is unknown.
func (r *Reader) Read() Utilization {
	now, in, out := time.Now(), r.meter.in.Load(), r.meter.out.Load()
	capacity := now.Sub(r.at).Seconds() * r.meter.perSecond
	u := Utilization{}
	if capacity > 0 {
		u = Utilization{In: float64(in-r.in) / capacity, Out: float64(out-r.out) / capacity}
	}
	r.at, r.in, r.out = now, in, out
	return u
}

// Delayed returns the number of writes that the pacer has delayed.
func (m *Meter) Delayed() int64 { return m.pacer.Waited() }

// Conn wraps a connection to count its bytes and pace its writes, which are of class Answers
// unless Classify sets another.
func (m *Meter) Conn(c net.Conn) *Conn { return &Conn{Conn: c, meter: m} }

// Conn is a connection whose bytes are counted and whose writes are paced.
type Conn struct {
	net.Conn
	meter *Meter
	class atomic.Int32
}

// Classify sets the class of later writes.
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

// CloseWrite closes the sending side, if the connection supports that. An HTTP server does so when
// it refuses a call before it has read the body, so that the caller gets the answer and not a reset.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// SetLinger sets how the connection closes, as that of a net.TCPConn does, if it supports that.
func (c *Conn) SetLinger(seconds int) error {
	if lingering, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		return lingering.SetLinger(seconds)
	}
	return nil
}
