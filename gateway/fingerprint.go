package gateway

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// fingerprintBytes is the length of a fingerprint, which callers can't find another
// request for.
const fingerprintBytes = 12

// fingerprint identifies the content of a request: its caller, path and body. A
// request that is sent again has the same.
func (e *exchange) fingerprint() string {
	if e.contentHash == "" {
		h := sha256.New()
		for _, part := range []string{e.workspace, e.request.Method, e.request.Host, e.request.RequestTarget} {
			var length [8]byte
			binary.BigEndian.PutUint64(length[:], uint64(len(part)))
			_, _ = h.Write(length[:])
			_, _ = h.Write([]byte(part))
		}
		_, _ = h.Write(e.request.Body)
		e.contentHash = hex.EncodeToString(h.Sum(nil)[:fingerprintBytes])
	}
	return e.contentHash
}
