package connlimit

import (
	"bytes"
	"strconv"
)

// framing follows the bytes of a request just closely enough to know where it ends
// and how long its body is announced to be. The server parses the request itself and
// decides what is valid: where the two differ, only the account is inexact.
type framing struct {
	part      part
	line      [48]byte // start of the current line
	lineBytes int      // its length, which may be more than is kept
	header    int64    // bytes of the header
	fields    int64    // lines of the header and trailer
	chunked   bool
	body      int64 // announced length: of the chunks so far, or of the whole body
	remaining int64 // bytes of the body, or of the chunk with its line end, that are to come
}

type part int

const (
	inHeader part = iota
	inBody
	inChunkSize
	inChunk
	inTrailer
	ended
)

// maxAnnounced is above each limit on a body, and keeps sums of sizes in range.
const maxAnnounced = 1 << 40

// advance takes bytes as they arrive and returns how many belong to the request.
func (f *framing) advance(p []byte) int {
	taken := 0
	for taken < len(p) && f.part != ended {
		if f.part == inBody || f.part == inChunk {
			n := min(f.remaining, int64(len(p)-taken))
			taken += int(n)
			f.remaining -= n
			if f.remaining == 0 {
				f.endData()
			}
			continue
		}
		c := p[taken]
		taken++
		if f.part == inHeader {
			f.header++
		}
		if c != '\n' {
			if f.lineBytes < len(f.line) {
				f.line[f.lineBytes] = c
			}
			f.lineBytes++
			continue
		}
		line := bytes.TrimRight(f.line[:min(f.lineBytes, len(f.line))], "\r")
		f.lineBytes = 0
		f.endLine(line)
	}
	return taken
}

func (f *framing) endData() {
	if f.part == inBody {
		f.part = ended
	} else {
		f.part = inChunkSize
	}
}

func (f *framing) endLine(line []byte) {
	switch {
	case f.part == inChunkSize:
		digits := 0
		for digits < len(line) && bytes.IndexByte([]byte("0123456789abcdefABCDEF"), line[digits]) >= 0 {
			digits++
		}
		size := announced(string(line[:digits]), 16)
		if size == 0 {
			f.part = inTrailer
			return
		}
		f.part, f.remaining = inChunk, size+int64(len("\r\n"))
		f.body = min(f.body+size, maxAnnounced)
	case len(line) > 0:
		f.fields++
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch {
		case f.part != inHeader:
		case bytes.EqualFold(name, []byte("Content-Length")):
			f.body = announced(string(bytes.TrimSpace(value)), 10)
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			f.chunked = true
		}
	case f.part == inTrailer:
		f.part = ended
	case f.chunked:
		f.part, f.body = inChunkSize, 0
	case f.body > 0:
		f.part, f.remaining = inBody, f.body
	default:
		f.part = ended
	}
}

func announced(digits string, base int) int64 {
	n, err := strconv.ParseUint(digits, base, 63)
	if err != nil {
		return 0
	}
	return min(int64(n), maxAnnounced)
}

// bufferBytes returns the size of the server's buffer for the body, which it doubles
// as the body grows. The buffer has the line end after a chunk, too.
func (f *framing) bufferBytes(maxBodyBytes int64) int64 {
	n := f.body
	if n == 0 || n > maxBodyBytes {
		return 0 // the server refuses a longer body before it allocates the buffer
	}
	if f.chunked {
		n += int64(len("\r\n"))
	}
	size := int64(1)
	for size < n {
		size *= 2
	}
	return size
}
