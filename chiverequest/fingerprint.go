package chiverequest

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// fingerprintBytes is long enough that no caller can construct a request with the fingerprint of another one.
const fingerprintBytes = 16

// Fingerprint is a hash of a request's content. It lets every node recognize a caller's retry as the same request,
// although each retry has its own ID.
type Fingerprint string

// NewFingerprint returns the fingerprint of a team's request. What may differ between retries, such as the deadline or
// the last event, is left out.
func NewFingerprint(team, method, host, target string, body []byte) Fingerprint {
	hash := sha256.New()
	for _, field := range [][]byte{[]byte(team), []byte(method), []byte(host), []byte(target), body} {
		// The length prefix keeps the boundaries between fields unambiguous. Writing to a hash never fails.
		_, _ = hash.Write(binary.BigEndian.AppendUint64(nil, uint64(len(field))))
		_, _ = hash.Write(field)
	}
	return Fingerprint(hash.Sum(nil)[:fingerprintBytes])
}

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString([]byte(f)) }
