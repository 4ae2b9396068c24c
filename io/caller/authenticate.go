package caller

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"

	"github.com/kataras/iris/v12"

	"wisteriadyke/core/config"
)

// bearerPrefix precedes the API key in the Authorization header.
const bearerPrefix = "Bearer "

// authenticate returns the client account of the API key in the Authorization header; it returns false if the key is
// missing or unknown. It compares the key's digest with those of all accounts, each in constant time.
func (s *Server) authenticate(ctx iris.Context, configuration config.Configuration) (config.Account, bool) {
	key, found := strings.CutPrefix(ctx.GetHeader("Authorization"), bearerPrefix)
	if !found {
		return config.Account{}, false
	}
	sum := sha256.Sum256([]byte(key))
	digest := []byte(hex.EncodeToString(sum[:]))
	var match config.Account
	matched := 0
	for _, account := range configuration.Accounts {
		if subtle.ConstantTimeCompare(digest, []byte(account.KeyDigest)) == 1 {
			match = account
			matched = 1
		}
	}
	return match, matched == 1
}
