// Package chivestand holds small stand-ins for what surrounds chivedrift: the platform's log and VM list, model engines, plain services and the weight store.
package chivestand
