package chivesettings

import (
	"fmt"
	"os"
	"slices"
	"time"

	"chivedrift/chiveresidency"
)

// StoreNode holds the settings of a node whose configuration and endpoints come from the platform's metadata store.
type StoreNode struct {
	Name          string `yaml:"name" validate:"required,max=64"`
	Region        string `yaml:"region" validate:"required"`
	FailureDomain string `yaml:"failure_domain" validate:"required"`
	// Regions lists the region of each failure domain of the deployment. Without it only the node's own is known.
	Regions []DomainRegion `yaml:"regions" validate:"dive"`
	// Listen holds the addresses that the node serves on.
	Listen StoreListen `yaml:"listen"`
	// Store is the address of the platform's metadata store.
	Store string `yaml:"store" validate:"required,ipport"`
	// Seeds are peer addresses of nodes that may exist; they may be stale.
	Seeds []string `yaml:"seeds" validate:"dive,ipport"`
	// MemoryMB is what the process may use, in megabytes.
	MemoryMB int64 `yaml:"memory_mb" validate:"min=32,max=1048576"`
	// MaxDescriptors is the number of descriptors that the process may have. Without it, that is the system's limit.
	MaxDescriptors int64       `yaml:"max_descriptors" validate:"omitempty,min=256,max=1048576"`
	Stop           StoreStop   `yaml:"stop"`
	Repeats        StoreRepeat `yaml:"repeats"`
	// RegionTraffic is what bytes between regions cost; they cost nothing without it.
	RegionTraffic RegionTraffic `yaml:"region_traffic"`
	// Profile serves profiles of the process to operators; off unless it is asked for.
	Profile bool `yaml:"profile"`
	// PlatformDuties configures the work that one node at a time does for the platform; nil if there is none.
	PlatformDuties *PlatformDuties `yaml:"platform_duties"`
}

// DomainRegion is the region of one failure domain.
type DomainRegion struct {
	FailureDomain string `yaml:"failure_domain" validate:"required"`
	Region        string `yaml:"region" validate:"required"`
}

// RegionTraffic is what bytes between regions cost in the choice of an engine.
type RegionTraffic struct {
	// RequestsPerGB is the number of requests answered in time that a gigabyte is worth.
	RequestsPerGB float64 `yaml:"requests_per_gb" validate:"min=0,max=1000000"`
	// PromptTokenBytes is the size of a prompt token in a request, CachedTokenBytes that of a cached token that one engine
	// fetches from another.
	PromptTokenBytes int64 `yaml:"prompt_token_bytes" validate:"min=0,max=1000"`
	CachedTokenBytes int64 `yaml:"cached_token_bytes" validate:"min=0,max=10000000"`
}

// PlatformDuties configures the work that one node at a time does for the platform.
type PlatformDuties struct {
	// Address is the IP:port address of the platform's interface.
	Address string `yaml:"address" validate:"required,ipport"`
	// Kinds lists the expected duties; unknown kinds are ignored.
	Kinds []string `yaml:"kinds"`
	// LeaseMs is the term of the lease after its last renewal.
	LeaseMs int64 `yaml:"lease_ms" validate:"min=1500,max=600000"`
	// UsageWindowS is the length of a usage window, UsageDelayS the time after its end within which it must be reported.
	UsageWindowS float64 `yaml:"usage_window_s" validate:"min=1,max=3600"`
	UsageDelayS  float64 `yaml:"usage_delay_s" validate:"min=5,max=3600"`
}

// Known kinds of duties.
const (
	DutyUsage   = "usage"
	DutyScaling = "scaling"
)

// Expects reports whether the platform expects a kind of duty; it is false for nil.
func (d *PlatformDuties) Expects(kind string) bool { return d != nil && slices.Contains(d.Kinds, kind) }

// Lease returns the term of the lease after its last renewal.
func (d *PlatformDuties) Lease() time.Duration { return time.Duration(d.LeaseMs) * time.Millisecond }

// UsageWindow returns the length of a usage window.
func (d *PlatformDuties) UsageWindow() time.Duration {
	return time.Duration(d.UsageWindowS * float64(time.Second))
}

// UsageDelay returns the time after a window's end within which it must be reported.
func (d *PlatformDuties) UsageDelay() time.Duration {
	return time.Duration(d.UsageDelayS * float64(time.Second))
}

// RegionOf returns the region of each known failure domain, the node's own included.
func (s *StoreNode) RegionOf() chiveresidency.Map {
	regions := chiveresidency.Map{s.FailureDomain: s.Region}
	for _, d := range s.Regions {
		regions[d.FailureDomain] = d.Region
	}
	return regions
}

// StoreListen holds the addresses of a node, by IP number and port.
type StoreListen struct {
	Callers string `yaml:"callers" validate:"required,ipport"`
	Ready   string `yaml:"ready" validate:"required,ipport"`
	Admin   string `yaml:"admin" validate:"required,ipport"`
	Peers   string `yaml:"peers" validate:"required,ipport"`
	// Relay is where peers that cannot connect to an endpoint have this node connect; empty to offer no such connections.
	Relay string `yaml:"relay" validate:"omitempty,ipport"`
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
