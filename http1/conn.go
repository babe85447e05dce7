package http1

import (
	"cmp"
	"net"
	"time"
)

// Conn is a client's connection that checks responses before they can be read. Each
// request must be written whole before its response is read.
type Conn struct {
	net.Conn
	checker ResponseChecker
}

// NewConn returns a connection that checks what is read from c.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.checker = ResponseChecker{}
	return c.Conn.Write(p)
}

// Read implements net.Conn. It fails with the errors of ResponseChecker instead of
// returning the bytes that it refuses.
func (c *Conn) Read(p []byte) (int, error) {
	return c.checker.Read(c.Conn, p)
}

const defaultDialTimeout = 3 * time.Second

// Dial connects to an address with a timeout, or with 3 s if it is 0.
func Dial(address string, timeout time.Duration) (net.Conn, error) {
	c, err := net.DialTimeout("tcp", address, cmp.Or(timeout, defaultDialTimeout))
	if err != nil {
		return nil, err
	}
	return NewConn(c), nil
}
