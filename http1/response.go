package http1

import (
	"fmt"
	"io"
	"strings"
)

// FormatError reports a message that is not in the form of RFC 9112.
type FormatError struct {
	Part string // the part of the message
	Byte byte   // the first byte that does not belong there
}

func (e *FormatError) Error() string {
	return fmt.Sprintf("byte %q in the %s of an HTTP message", e.Byte, e.Part)
}

// TransferEncodingError reports a response of HTTP/1.0 with a transfer encoding, which
// that version does not have: readers take the chunks for the body.
type TransferEncodingError struct{}

func (*TransferEncodingError) Error() string { return "response of HTTP/1.0 has a transfer encoding" }

// responsePart is what the next byte of a response belongs to.
type responsePart int

const (
	inVersion responsePart = iota
	inStatus
	inReason
	atLineStart // of a field, or of the line that ends the header or the trailers
	inName
	inValue
	inChunkSize
	inChunkExtension
	inChunkData
	atChunkEnd
	unchecked // a body that is not in chunks, and what follows the response
)

var partNames = [...]string{inVersion: "version", inStatus: "status", inReason: "reason phrase", atLineStart: "field name",
	inName: "field name", inValue: "field value", inChunkSize: "chunk size", inChunkExtension: "chunk extension", atChunkEnd: "end of a chunk"}

// lineEnding is how the lines of a header end. RFC 9112, section 2.2, allows a reader to
// take LF alone, but where both are used, LF may be a part of a broken line.
type lineEnding int

const (
	unknownEnding lineEnding = iota
	crlf
	lf
)

// ResponseChecker checks the bytes that a peer sends in response to a request: the
// headers of any informational responses and of the final one, the lines around chunks,
// and trailers. It refuses what parsers read differently: names of fields that hold
// anything but the characters of a token, folded lines, control bytes, and lines that end
// in different ways. It holds no bytes, and is ready for the first byte of a response.
type ResponseChecker struct {
	bodiless bool // whether the request was HEAD
	part     responsePart
	position int // in the version, the status or a chunk's size, or in transferEncoding
	status   int
	http10   bool
	chunked  bool
	trailers bool   // whether the fields are trailers
	size     uint64 // of the chunk, or of the rest of it
	afterCR  bool
	ending   lineEnding
	err      error
}

const (
	versionPrefix      = "HTTP/1."
	statusDigits       = 3
	maxChunkSizeDigits = 16
	transferEncoding   = "transfer-encoding"
	// noField is the position in transferEncoding while another name is read.
	noField = -1
)

// NewResponseChecker returns a checker of the response to a request with a method.
func NewResponseChecker(method string) ResponseChecker {
	return ResponseChecker{bodiless: method == "HEAD"}
}

// CheckFields checks the lines of fields in a header, which a parser has read, as a
// ResponseChecker does. They must end with CRLF.
func CheckFields(lines []byte) error {
	c := ResponseChecker{bodiless: true, part: atLineStart, status: 200, ending: crlf}
	return c.Check(lines)
}

// Err returns the error of Check, or nil. A reader asks for it before it reads on: after
// an error a parser may take what it has for a whole line, and wait for the next one.
func (c *ResponseChecker) Err() error { return c.err }

// Read reads from r and checks what it has read, of which it returns nothing if it is
// refused.
func (c *ResponseChecker) Read(r io.Reader, p []byte) (int, error) {
	if err := c.Err(); err != nil {
		return 0, err
	}
	n, err := r.Read(p)
	if err := c.Check(p[:n]); err != nil {
		return 0, err
	}
	return n, err
}

// Check checks the next bytes. It ignores those that follow the response. Its errors are
// *FormatError, *InvalidStatusError and *TransferEncodingError, and stay.
func (c *ResponseChecker) Check(p []byte) error {
	for i := 0; i < len(p) && c.part != unchecked && c.err == nil; i++ {
		switch {
		case c.part == inChunkData:
			n := min(c.size, uint64(len(p)-i))
			if c.size -= n; c.size == 0 {
				c.part = atChunkEnd
			}
			i += int(n) - 1
		case c.part == inValue && !c.afterCR && isText(p[i]):
		default:
			c.err = c.next(p[i])
		}
	}
	return c.err
}

func (c *ResponseChecker) next(b byte) error {
	if c.afterCR {
		c.afterCR = false
		if b != '\n' {
			return &FormatError{Part: "end of a line", Byte: b}
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
	switch c.part {
	case inVersion:
		valid = c.nextOfVersion(b)
	case inStatus:
		valid = c.nextOfStatus(b)
	case inReason, inValue, inChunkExtension:
		valid = isText(b)
	case atLineStart:
		c.part, c.position = inName, 0
		valid = isToken[b]
		c.matchTransferEncoding(b)
	case inName:
		if b == ':' {
			return c.endName()
		}
		valid = isToken[b]
		c.matchTransferEncoding(b)
	case inChunkSize:
		valid = c.nextOfChunkSize(b)
	}
	if !valid {
		return &FormatError{Part: partNames[c.part], Byte: b}
	}
	return nil
}

func (c *ResponseChecker) nextOfVersion(b byte) bool {
	p := c.position
	c.position++
	switch {
	case p < len(versionPrefix):
		return b == versionPrefix[p]
	case p == len(versionPrefix):
		c.http10 = b == '0'
		return isDigit(b)
	case b == ' ':
		c.part, c.position = inStatus, 0
		return true
	default:
		return false
	}
}

func (c *ResponseChecker) nextOfStatus(b byte) bool {
	if c.position == statusDigits && b == ' ' {
		c.part = inReason
		return true
	}
	c.position++
	c.status = 10*c.status + int(b-'0')
	return isDigit(b) && c.position <= statusDigits
}

func (c *ResponseChecker) matchTransferEncoding(b byte) {
	if b >= 'A' && b <= 'Z' {
		b += 'a' - 'A'
	}
	switch {
	case c.position == noField:
	case c.position < len(transferEncoding) && b == transferEncoding[c.position]:
		c.position++
	default:
		c.position = noField
	}
}

// endName ends the name of a field. The value of Transfer-Encoding is not checked: parsers
// refuse all but "chunked".
func (c *ResponseChecker) endName() error {
	c.part = inValue
	if c.trailers || c.position != len(transferEncoding) {
		return nil
	}
	if c.http10 {
		return &TransferEncodingError{}
	}
	c.chunked = true
	return nil
}

func (c *ResponseChecker) nextOfChunkSize(b byte) bool {
	digit := uint64(0)
	switch {
	case isDigit(b):
		digit = uint64(b - '0')
	case b >= 'a' && b <= 'f':
		digit = uint64(b-'a') + 10
	case b >= 'A' && b <= 'F':
		digit = uint64(b-'A') + 10
	case c.position > 0 && (b == ';' || b == ' ' || b == '\t'):
		c.part = inChunkExtension
		return true
	default:
		return false
	}
	c.size = c.size<<4 | digit
	c.position++
	return c.position <= maxChunkSizeDigits
}

func (c *ResponseChecker) endLine(ending lineEnding) error {
	if c.ending != unknownEnding && c.ending != ending {
		return &FormatError{Part: "end of a line", Byte: '\n'}
	}
	switch {
	case c.part == inReason, c.part == inStatus && c.position == statusDigits:
		c.part, c.ending = atLineStart, ending
		return CheckStatus(c.status)
	case c.part == inValue:
		c.part = atLineStart
	case c.part == atLineStart:
		c.endFields()
	case c.part == inChunkExtension, c.part == inChunkSize && c.position > 0:
		if c.part = inChunkData; c.size == 0 {
			c.part, c.trailers = atLineStart, true
		}
	case c.part == atChunkEnd:
		c.part, c.position, c.size = inChunkSize, 0, 0
	default:
		return &FormatError{Part: partNames[c.part], Byte: '\n'}
	}
	return nil
}

// endFields ends a header or the trailers.
func (c *ResponseChecker) endFields() {
	switch {
	case c.trailers:
		c.part = unchecked
	case c.status < 200:
		*c = ResponseChecker{bodiless: c.bodiless}
	case c.chunked && !c.bodiless && c.status != 204 && c.status != 304:
		c.part, c.position, c.ending = inChunkSize, 0, crlf
	default:
		c.part = unchecked
	}
}

// isToken tells the characters of a token (RFC 9110, section 5.6.2).
var isToken = func() (table [256]bool) {
	for b := range table {
		table[b] = isDigit(byte(b)) || b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || strings.IndexByte("!#$%&'*+-.^_`|~", byte(b)) >= 0
	}
	return table
}()

// isText reports whether a byte may stand in a field value, a reason phrase or a chunk
// extension.
func isText(b byte) bool { return b >= ' ' && b != 0x7f || b == '\t' }

func isDigit(b byte) bool { return b >= '0' && b <= '9' }
