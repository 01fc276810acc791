package chivegate

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"chivedrift/chiveconfig"
	"chivedrift/chivedispatch"
)

// keyring holds the digests of all teams' keys.
type keyring struct {
	digests [][sha256.Size]byte
	teams   []string
}

func newKeyring(config *chiveconfig.Config) *keyring {
	k := &keyring{}
	for i := range config.Teams {
		for _, text := range config.Teams[i].KeySHA256 {
			raw, err := hex.DecodeString(text)
			if err != nil || len(raw) != sha256.Size {
				continue
			}
			k.digests = append(k.digests, [sha256.Size]byte(raw))
			k.teams = append(k.teams, config.Teams[i].Name)
		}
	}
	return k
}

// team returns the team whose key a request carries.
//
// Every digest is compared in full and in constant time: a comparison that stops at the first difference would tell
// a stranger by its duration how much of a key was right.
func (k *keyring) team(r *http.Request) (string, error) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return "", unauthorised("header Authorization: expected a Bearer key")
	}
	digest := sha256.Sum256([]byte(key))
	found := -1
	for i := range k.digests {
		match := subtle.ConstantTimeCompare(digest[:], k.digests[i][:])
		found = subtle.ConstantTimeSelect(match, i, found)
	}
	if found < 0 {
		return "", unauthorised("header Authorization: this key belongs to no team")
	}
	return k.teams[found], nil
}

func unauthorised(message string) *failure {
	return &failure{status: http.StatusUnauthorized, kind: kindAuth, code: "invalid_api_key", message: message, outcome: chivedispatch.NotRun}
}
