package chiverequest

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// fingerprintBytes is long enough that nobody makes a request that is taken for another caller's.
const fingerprintBytes = 16

// Fingerprint names what a request asks, so that its next try is known for the same at any node: every try has an identity of its own.
type Fingerprint string

// NewFingerprint returns the fingerprint of a team's request; what differs between tries, such as the deadline or the last event, is no part of it.
func NewFingerprint(team, method, host, target string, body []byte) Fingerprint {
	hash := sha256.New()
	for _, field := range [][]byte{[]byte(team), []byte(method), []byte(host), []byte(target), body} {
		// The length goes first, so that no field can be taken for the end of another one. A hash takes every write.
		_, _ = hash.Write(binary.BigEndian.AppendUint64(nil, uint64(len(field))))
		_, _ = hash.Write(field)
	}
	return Fingerprint(hash.Sum(nil)[:fingerprintBytes])
}

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString([]byte(f)) }
