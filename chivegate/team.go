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

// teamKeys holds the digests of the teams' keys: digests[i] belongs to teams[i].
type teamKeys struct {
	digests [][sha256.Size]byte
	teams   []string
}

func newTeamKeys(config *chiveconfig.Config) *teamKeys {
	k := &teamKeys{}
	for i := range config.Teams {
		for _, encoded := range config.Teams[i].KeySHA256 {
			raw, err := hex.DecodeString(encoded)
			if err != nil || len(raw) != sha256.Size {
				continue
			}
			k.digests = append(k.digests, [sha256.Size]byte(raw))
			k.teams = append(k.teams, config.Teams[i].Name)
		}
	}
	return k
}

// authenticate returns the name of the team whose key a request carries.
//
// It compares every digest in constant time: the duration of a comparison that stops at the first difference would
// reveal how much of a guessed key is correct.
func (k *teamKeys) authenticate(r *http.Request) (string, error) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return "", newAuthenticationError("header Authorization: expected a Bearer key")
	}
	digest := sha256.Sum256([]byte(key))
	found := -1
	for i := range k.digests {
		match := subtle.ConstantTimeCompare(digest[:], k.digests[i][:])
		found = subtle.ConstantTimeSelect(match, i, found)
	}
	if found < 0 {
		return "", newAuthenticationError("header Authorization: this key belongs to no team")
	}
	return k.teams[found], nil
}

func newAuthenticationError(message string) *failure {
	return &failure{status: http.StatusUnauthorized, errorType: errorTypeAuthentication, code: "invalid_api_key", message: message, outcome: chivedispatch.NotRun}
}
