// Package peer connects the processes of the fleet over QUIC with mutual TLS.
// A message is a CBOR array [kind, body]; messages follow one another on a
// stream as a CBOR sequence (RFC 8742).
package peer
