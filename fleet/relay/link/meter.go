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
}

// NewMeter returns a meter of a link of so many Mbit/s; 0 is not known.
func NewMeter(mbps float64) *Meter {
	const bytesPerMbit = 1e6 / 8
	return &Meter{perSecond: mbps * bytesPerMbit}
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

// Conn counts what a connection carries.
func (m *Meter) Conn(c net.Conn) net.Conn { return &metered{Conn: c, meter: m} }

// metered is a connection whose bytes are counted.
type metered struct {
	net.Conn
	meter *Meter
}

// Read implements net.Conn.
func (c *metered) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.meter.in.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *metered) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.meter.out.Add(int64(n))
	return n, err
}

// CloseWrite ends one way, where the connection can: a server that refuses a call before
// it has read its body does so, so that the caller reads the answer and no reset.
func (c *metered) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
