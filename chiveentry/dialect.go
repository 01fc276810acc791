package chiveentry

import (
	"net/http"
)

// connectionFields belong to one connection and are never passed on.
var connectionFields = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding",
	"Upgrade", "Expect",
}

// DropConnectionFields removes what concerns one connection only, also the fields that it names itself.
func DropConnectionFields(header http.Header) {
	for _, value := range header["Connection"] {
		for _, name := range splitList(value) {
			header.Del(name)
		}
	}
	for _, name := range connectionFields {
		header.Del(name)
	}
}
