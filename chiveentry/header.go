package chiveentry

import (
	"net/http"
)

// hopByHopHeaders apply to a single connection and are never forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding",
	"Upgrade", "Expect",
}

// DropConnectionFields removes the hop-by-hop headers, including those that the Connection header names.
func DropConnectionFields(header http.Header) {
	for _, value := range header["Connection"] {
		for _, name := range splitCommaList(value) {
			header.Del(name)
		}
	}
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
}
