package http1

import "fmt"

// HeaderError reports a header that is not in the form of RFC 9112.
type HeaderError struct {
	Part string // the part of the header
	Byte byte   // the first byte that does not belong there
}

func (e *HeaderError) Error() string {
	return fmt.Sprintf("byte %q in the %s of a response", e.Byte, e.Part)
}

// headerState is what the next byte of a header belongs to.
type headerState int

const (
	inVersion headerState = iota
	inStatus
	inLine      // the rest of a line
	atLineStart // of a field, or of the line that ends the header
	afterHeader
)

// HeaderChecker checks the bytes of the headers that a peer sends in response to a
// request: any informational ones and the final one. It holds no bytes. The zero value
// is ready for the first byte.
type HeaderChecker struct {
	state    headerState
	position int // in version or status
	status   int
	err      error
}

const (
	versionPrefix = "HTTP/1."
	statusDigits  = 3
)

// Check checks the next bytes. It ignores those that follow the final header. After an
// error it returns the same error.
func (c *HeaderChecker) Check(p []byte) error {
	for _, b := range p {
		if c.state == afterHeader || c.err != nil {
			break
		}
		c.err = c.next(b)
	}
	return c.err
}

func (c *HeaderChecker) next(b byte) error {
	switch c.state {
	case inVersion:
		return c.nextOfVersion(b)
	case inStatus:
		return c.nextOfStatus(b)
	case inLine:
		if b == '\n' {
			c.state = atLineStart
		}
	case atLineStart:
		switch {
		case b == '\r':
		case b != '\n':
			c.state = inLine
		case c.status < 200:
			*c = HeaderChecker{}
		default:
			c.state = afterHeader
		}
	}
	return nil
}

func (c *HeaderChecker) nextOfVersion(b byte) error {
	p := c.position
	c.position++
	switch {
	case p < len(versionPrefix) && b == versionPrefix[p]:
	case p == len(versionPrefix) && isDigit(b):
	case p == len(versionPrefix)+1 && b == ' ':
		c.state, c.position = inStatus, 0
	default:
		return &HeaderError{Part: "version", Byte: b}
	}
	return nil
}

func (c *HeaderChecker) nextOfStatus(b byte) error {
	if c.position < statusDigits {
		if !isDigit(b) {
			return &HeaderError{Part: "status", Byte: b}
		}
		c.position++
		c.status = 10*c.status + int(b-'0')
		return nil
	}
	switch b {
	case ' ', '\r':
		c.state = inLine
	case '\n':
		c.state = atLineStart
	default:
		return &HeaderError{Part: "status", Byte: b}
	}
	return CheckStatus(c.status)
}

func isDigit(b byte) bool { return b >= '0' && b <= '9' }
