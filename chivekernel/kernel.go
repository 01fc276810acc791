package chivekernel

import (
	"context"
	"errors"
	"fmt"
	"sync"
)

// Service is one duty of a node, with its own goroutines and its own state dump.
type Service interface {
	// Start begins the service's duty; the context ends when the kernel is torn down.
	Start(ctx context.Context) error
	// Stop ends the duty and returns once its goroutines have.
	Stop(ctx context.Context) error
	// Dump returns a JSON-encodable copy of the service's state.
	Dump() any
}

// ErrNotRegistered is returned by Lookup for a name that no service registered under.
var ErrNotRegistered = errors.New("no service registered under this name")

// Kernel holds the services of one process.
type Kernel struct {
	mu       sync.RWMutex
	names    []string
	services map[string]Service
	started  int
	cancel   context.CancelFunc
}

// New returns an empty kernel.
func New() *Kernel {
	return &Kernel{services: make(map[string]Service)}
}

// Register adds a service under a name that must be free; services start in the order of registration.
func (k *Kernel) Register(name string, service Service) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, taken := k.services[name]; taken {
		return fmt.Errorf("kernel: service name %q registered twice", name)
	}
	k.services[name] = service
	k.names = append(k.names, name)
	return nil
}

// Lookup finds a service by name and returns it as the type or interface the caller needs.
func Lookup[T any](k *Kernel, name string) (T, error) {
	var none T
	k.mu.RLock()
	service, ok := k.services[name]
	k.mu.RUnlock()
	if !ok {
		return none, fmt.Errorf("kernel: %q: %w", name, ErrNotRegistered)
	}
	typed, ok := service.(T)
	if !ok {
		return none, fmt.Errorf("kernel: service %q is a %T, which does not offer what was asked for", name, service)
	}
	return typed, nil
}

// Offering returns the services that offer an interface, in the order of registration.
func Offering[T any](k *Kernel) []T {
	k.mu.RLock()
	defer k.mu.RUnlock()
	var offering []T
	for _, name := range k.names {
		if typed, ok := k.services[name].(T); ok {
			offering = append(offering, typed)
		}
	}
	return offering
}

// Start starts every service in order; when one fails, those already started are stopped again.
func (k *Kernel) Start(ctx context.Context) error {
	ctx, k.cancel = context.WithCancel(ctx)
	for _, name := range k.names {
		if err := k.services[name].Start(ctx); err != nil {
			failure := fmt.Errorf("kernel: start %s: %w", name, err)
			return errors.Join(failure, k.Stop(ctx))
		}
		k.started++
	}
	return nil
}

// Stop stops the started services in reverse order and joins their errors.
func (k *Kernel) Stop(ctx context.Context) error {
	var failures error
	for k.started > 0 {
		k.started--
		name := k.names[k.started]
		if err := k.services[name].Stop(ctx); err != nil {
			failures = errors.Join(failures, fmt.Errorf("kernel: stop %s: %w", name, err))
		}
	}
	if k.cancel != nil {
		k.cancel()
	}
	return failures
}

// Dump returns the state of every service by name.
func (k *Kernel) Dump() map[string]any {
	k.mu.RLock()
	defer k.mu.RUnlock()
	dump := make(map[string]any, len(k.names))
	for _, name := range k.names {
		dump[name] = k.services[name].Dump()
	}
	return dump
}
