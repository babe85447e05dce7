package gateway

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"slices"

	"briarreach/quarantine"
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

// contentIDs returns the IDs by which the quarantine knows the request: its own, and
// those of the shared parts of its prompt.
func (e *exchange) contentIDs() []string {
	return append(e.sharedPartIDs(), quarantine.RequestID(e.fingerprint()))
}

// sharedPartIDs returns the IDs of the shared parts of the prompt, if any. A part that
// a caller has named like a request is left out.
func (e *exchange) sharedPartIDs() []string {
	if e.request.Prompt == nil {
		return nil
	}
	return slices.DeleteFunc(e.request.Prompt.SharedPartIDs(), quarantine.IsRequestID)
}

// recordAnswer notes that the request was answered and does not crash replicas. An
// error response speaks for the request only.
func (e *exchange) recordAnswer(status int) {
	ids := []string{quarantine.RequestID(e.fingerprint())}
	if status < 300 {
		ids = e.contentIDs()
	}
	e.gateway.quarantine.RecordAnswer(e.service, ids)
}
