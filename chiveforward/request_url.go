package chiveforward

import (
	"fmt"
	"net/url"
	"strings"

	"chivedrift/chiverequest"
)

// requestURL returns a URL for which net/http sends a target byte for byte as it was received: decoding and encoding it could
// change what the endpoint sees.
func requestURL(address, target string) (*url.URL, error) {
	if !strings.HasPrefix(target, "//") {
		return &url.URL{Scheme: "http", Host: address, Opaque: target}, nil
	}
	// An opaque URL with two slashes would be sent with the scheme before it, so that its first part became a host.
	rawPath, query, hasQuery := strings.Cut(target, "?")
	path, err := url.PathUnescape(rawPath)
	if err != nil {
		return nil, fmt.Errorf("request target: %w", err)
	}
	u := &url.URL{Scheme: "http", Host: address, Path: path, RawPath: rawPath, RawQuery: query, ForceQuery: hasQuery}
	if sent := u.RequestURI(); sent != target {
		return nil, fmt.Errorf("request target: %q would be sent as %q", chiverequest.Shorten(target), chiverequest.Shorten(sent))
	}
	return u, nil
}

// CheckTarget returns an error if a target cannot be sent to endpoints as it is.
func CheckTarget(target string) error {
	_, err := requestURL("endpoint", target)
	return err
}
