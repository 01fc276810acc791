package chivesettings

import (
	"fmt"
	"os"
	"time"
)

// StoreNode holds the settings of a node whose configuration and endpoints come from the platform's metadata store.
type StoreNode struct {
	Name          string `yaml:"name" validate:"required,max=64"`
	Region        string `yaml:"region" validate:"required"`
	FailureDomain string `yaml:"failure_domain" validate:"required"`
	// Listen holds the addresses that the node serves on.
	Listen StoreListen `yaml:"listen"`
	// Store is the address of the platform's metadata store.
	Store string `yaml:"store" validate:"required,ipport"`
	// Seeds are peer addresses of nodes that may exist; they may be stale.
	Seeds []string `yaml:"seeds" validate:"dive,ipport"`
	// MemoryMB is what the process may use, in megabytes.
	MemoryMB int64       `yaml:"memory_mb" validate:"min=32,max=1048576"`
	Stop     StoreStop   `yaml:"stop"`
	Repeats  StoreRepeat `yaml:"repeats"`
	// Profile serves profiles of the process to operators; off unless it is asked for.
	Profile bool `yaml:"profile"`
}

// StoreListen holds the addresses of a node, by IP number and port.
type StoreListen struct {
	Callers string `yaml:"callers" validate:"required,ipport"`
	Ready   string `yaml:"ready" validate:"required,ipport"`
	Admin   string `yaml:"admin" validate:"required,ipport"`
	Peers   string `yaml:"peers" validate:"required,ipport"`
}

// StoreStop tells how a planned stop proceeds.
type StoreStop struct {
	// BalancerReleaseMs is how long the balancer may still send traffic after the node says that it is not ready.
	BalancerReleaseMs int64 `yaml:"balancer_release_ms" validate:"min=0,max=600000"`
	// GraceS is the time from the signal to the kill.
	GraceS float64 `yaml:"grace_s" validate:"min=0.5,max=600"`
}

// BalancerRelease returns how long the balancer may still send traffic.
func (s StoreStop) BalancerRelease() time.Duration {
	return time.Duration(s.BalancerReleaseMs) * time.Millisecond
}

// Grace returns the time from the signal to the kill.
func (s StoreStop) Grace() time.Duration {
	return time.Duration(s.GraceS * float64(time.Second))
}

// StoreRepeat bounds repeats over the whole fleet: in any window, under ratio times requests plus headroom.
type StoreRepeat struct {
	Ratio    float64 `yaml:"ratio" validate:"min=0,max=10"`
	Headroom float64 `yaml:"headroom" validate:"min=0,max=1000000"`
	WindowS  float64 `yaml:"window_s" validate:"min=0.1,max=3600"`
}

// LoadStoreNode reads, checks and returns the settings in a file; the error lists every problem with its line.
func LoadStoreNode(file string) (StoreNode, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return StoreNode{}, fmt.Errorf("settings: %w", err)
	}
	return ParseStoreNode(file, data)
}

// ParseStoreNode checks and returns the settings in data, which came from the named file.
func ParseStoreNode(file string, data []byte) (StoreNode, error) {
	return parse[StoreNode](file, data)
}
