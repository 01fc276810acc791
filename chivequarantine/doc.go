// Package chivequarantine keeps requests from engines that end under them.
//
// A request may end each engine that begins it. Its caller sends it again, at any node, and each try is a new request there; what one node learns
// in one try bounds nothing of the fleet. So nodes tell each other which request was on which engine when that ended: the Register holds
// these ends, by the request's fingerprint, and decides from them which request is held back; the Service passes them on and answers the
// forwarder.
//
// Many sound requests are near when engines end. Three things tell them apart: a request that was answered by an engine anywhere has not
// ended engines until then; of the requests that were on the same engines the one that was on the most explains their ends, and they speak against no
// other; and a held request is tried once more after a while, by one node and on one engine, so that an answer frees it.
package chivequarantine
