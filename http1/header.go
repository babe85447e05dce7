package http1

import (
	"fmt"
	"strings"
)

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
	inReason
	atLineStart // of a field, or of the line that ends the header
	inName
	inValue
	afterHeader
)

var headerParts = [...]string{inVersion: "version", inStatus: "status", inReason: "reason phrase",
	atLineStart: "field name", inName: "field name", inValue: "field value"}

// lineEnding is how the lines of a header end. RFC 9112, section 2.2, allows a reader to
// take LF alone, but where both are used, LF may be a part of a broken line.
type lineEnding int

const (
	unknownEnding lineEnding = iota
	crlf
	lf
)

// HeaderChecker checks the bytes of the headers that a peer sends in response to a
// request: any informational ones and the final one. It refuses what parsers read
// differently: names of fields that hold anything but the characters of a token, folded
// lines, control bytes, and lines that end in different ways. It holds no bytes. The zero
// value is ready for the first byte.
type HeaderChecker struct {
	state    headerState
	position int // in version or status
	status   int
	afterCR  bool
	ending   lineEnding
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
		if c.state == inValue && !c.afterCR && isText(b) {
			continue
		}
		c.err = c.next(b)
	}
	return c.err
}

func (c *HeaderChecker) next(b byte) error {
	if c.afterCR {
		c.afterCR = false
		if b != '\n' {
			return &HeaderError{Part: "end of a line", Byte: b}
		}
		return c.endLine(crlf)
	}
	switch b {
	case '\r':
		c.afterCR = true
		return nil
	case '\n':
		return c.endLine(lf)
	}
	valid := false
	switch c.state {
	case inVersion:
		valid = c.nextOfVersion(b)
	case inStatus:
		valid = c.nextOfStatus(b)
	case inReason, inValue:
		valid = isText(b)
	case atLineStart:
		c.state = inName
		valid = isToken[b]
	case inName:
		if valid = isToken[b] || b == ':'; b == ':' {
			c.state = inValue
		}
	}
	if !valid {
		return &HeaderError{Part: headerParts[c.state], Byte: b}
	}
	return nil
}

func (c *HeaderChecker) nextOfVersion(b byte) bool {
	p := c.position
	c.position++
	switch {
	case p < len(versionPrefix):
		return b == versionPrefix[p]
	case p == len(versionPrefix):
		return isDigit(b)
	default:
		c.state, c.position = inStatus, 0
		return b == ' '
	}
}

func (c *HeaderChecker) nextOfStatus(b byte) bool {
	if c.position == statusDigits {
		c.state = inReason
		return b == ' '
	}
	c.position++
	c.status = 10*c.status + int(b-'0')
	return isDigit(b)
}

func (c *HeaderChecker) endLine(ending lineEnding) error {
	statusLine := c.state == inReason || c.state == inStatus && c.position == statusDigits
	switch {
	case c.ending != unknownEnding && c.ending != ending:
		return &HeaderError{Part: "end of a line", Byte: '\n'}
	case statusLine:
		c.state, c.ending = atLineStart, ending
		return CheckStatus(c.status)
	case c.state == inValue:
		c.state = atLineStart
	case c.state == atLineStart && c.status < 200:
		*c = HeaderChecker{}
	case c.state == atLineStart:
		c.state = afterHeader
	default:
		return &HeaderError{Part: headerParts[c.state], Byte: '\n'}
	}
	return nil
}

// isToken tells the characters of a token (RFC 9110, section 5.6.2).
var isToken = func() (table [256]bool) {
	for b := range table {
		table[b] = isDigit(byte(b)) || b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || strings.IndexByte("!#$%&'*+-.^_`|~", byte(b)) >= 0
	}
	return table
}()

// isText reports whether a byte may stand in a field value or a reason phrase.
func isText(b byte) bool { return b >= ' ' && b != 0x7f || b == '\t' }

func isDigit(b byte) bool { return b >= '0' && b <= '9' }
