// Package authenticator authenticates callers by their team's credential, and peers
// and operators by a shared token. Credentials are looked up by hash, tokens are
// compared in constant time, and neither is ever logged.
//
// # Usage
//
//	team, ok := authenticator.Team(r, board.TeamByCredential)
//	ok = authenticator.Equal(r.Header.Get(authenticator.HeaderPeerToken), token)
package authenticator

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"
)

// HeaderPeerToken carries the token by which nodes authenticate to each other.
const HeaderPeerToken = "X-Peer-Token"

const maxCredentialBytes = 512

// Hash returns the hex SHA-256 sum under which a credential is stored.
func Hash(credential string) string {
	sum := sha256.Sum256([]byte(credential))
	return hex.EncodeToString(sum[:])
}

// Bearer returns the bearer credential of a request, or "" if there is none or it is
// too long.
func Bearer(r *http.Request) string {
	kind, credential, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(kind, "Bearer") || len(credential) > maxCredentialBytes {
		return ""
	}
	return credential
}

// Team returns the team to which the request's credential belongs. lookup returns a
// team by the hash of its credential.
func Team(r *http.Request, lookup func(hash string) (string, bool)) (string, bool) {
	credential := Bearer(r)
	if credential == "" {
		return "", false
	}
	return lookup(Hash(credential))
}

// Equal compares two secrets in constant time. If wanted is empty, nothing matches.
func Equal(given, wanted string) bool {
	a, b := sha256.Sum256([]byte(given)), sha256.Sum256([]byte(wanted))
	return wanted != "" && subtle.ConstantTimeCompare(a[:], b[:]) == 1
}
