package chivekernel

import (
	"context"
	"errors"
	"fmt"
	"sync"
)

// Service is a component of a node with its own goroutines and its own state dump.
type Service interface {
	// Start starts the service. The context ends when the kernel has stopped all services.
	Start(ctx context.Context) error
	// Stop stops the service and returns once its goroutines have ended.
	Stop(ctx context.Context) error
	// Dump returns a JSON-encodable copy of the service's state.
	Dump() any
}

// ErrNotRegistered is returned by Lookup if no service is registered under the name.
var ErrNotRegistered = errors.New("no service registered under this name")

// Kernel holds the services of a node.
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

// Register adds a service under a name that is not in use. Services start in the order of registration.
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

// Lookup returns the service with the given name as the requested type or interface.
func Lookup[T any](k *Kernel, name string) (T, error) {
	var zero T
	k.mu.RLock()
	service, ok := k.services[name]
	k.mu.RUnlock()
	if !ok {
		return zero, fmt.Errorf("kernel: %q: %w", name, ErrNotRegistered)
	}
	typed, ok := service.(T)
	if !ok {
		return zero, fmt.Errorf("kernel: service %q has type %T, which does not implement the requested type", name, service)
	}
	return typed, nil
}

// Offering returns the services that implement the given type or interface, in the order of registration.
func Offering[T any](k *Kernel) []T {
	k.mu.RLock()
	defer k.mu.RUnlock()
	var matching []T
	for _, name := range k.names {
		if typed, ok := k.services[name].(T); ok {
			matching = append(matching, typed)
		}
	}
	return matching
}

// Start starts every service in order; when one fails, those already started are stopped again.
func (k *Kernel) Start(ctx context.Context) error {
	ctx, k.cancel = context.WithCancel(ctx)
	for _, name := range k.names {
		if err := k.services[name].Start(ctx); err != nil {
			startErr := fmt.Errorf("kernel: start %s: %w", name, err)
			return errors.Join(startErr, k.Stop(ctx))
		}
		k.started++
	}
	return nil
}

// Stop stops the started services in reverse order and joins their errors.
func (k *Kernel) Stop(ctx context.Context) error {
	var errs error
	for k.started > 0 {
		k.started--
		name := k.names[k.started]
		if err := k.services[name].Stop(ctx); err != nil {
			errs = errors.Join(errs, fmt.Errorf("kernel: stop %s: %w", name, err))
		}
	}
	if k.cancel != nil {
		k.cancel()
	}
	return errs
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
