package chivestand

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/integrii/flaggy"
)

const (
	exitFailure   = 1
	exitBadInput  = 2
	headerTimeout = 5 * time.Second
	defaultStepMs = 5
	serviceStand  = "service"
)

// standOptions are the flags of all stand-ins.
type standOptions struct {
	listen    string
	model     string
	name      string
	stepMs    int64
	prefillUs int64
	sequences int
	fencing   bool
}

// Main runs the stand-in that the command line names and returns the exit code.
func Main(args []string, complaints io.Writer) int {
	parser := flaggy.NewParser("chivestand")
	parser.Description = "Stand-ins for the platform and the endpoints: log, engine, service, weights."
	o := standOptions{listen: "127.0.0.1:0", model: "stand-in", name: serviceStand, stepMs: defaultStepMs, sequences: 16}
	kinds := map[string]func(*standOptions) http.Handler{
		"log":        func(*standOptions) http.Handler { return NewLog().Handler() },
		"engine":     func(o *standOptions) http.Handler { return o.engine().Handler() },
		serviceStand: func(o *standOptions) http.Handler { return NewService(o.name).Handler() },
		"weights":    func(*standOptions) http.Handler { return NewWeights().Handler() },
	}
	subs := make(map[string]*flaggy.Subcommand, len(kinds))
	for _, name := range []string{"log", "engine", serviceStand, "weights"} {
		subs[name] = o.subcommand(name)
		parser.AttachSubcommand(subs[name], 1)
	}
	if err := parser.ParseArgs(args); err != nil {
		fmt.Fprintf(complaints, "chivestand: %v\n", err)
		return exitBadInput
	}
	for name, sub := range subs {
		if sub.Used {
			return serve(name, o.listen, kinds[name](&o), complaints)
		}
	}
	fmt.Fprintln(complaints, "chivestand: expected log, engine, service or weights; see chivestand --help")
	return exitBadInput
}

func (o *standOptions) subcommand(name string) *flaggy.Subcommand {
	sub := flaggy.NewSubcommand(name)
	sub.Description = "Run the stand-in for a " + name + "."
	sub.String(&o.listen, "l", "listen", "The IP:port to serve on.")
	switch name {
	case "engine":
		sub.String(&o.model, "m", "model", "The model's name.")
		sub.Int64(&o.stepMs, "s", "step-ms", "Milliseconds a token.")
		sub.Int64(&o.prefillUs, "p", "prefill-us", "Microseconds a prompt token.")
		sub.Int(&o.sequences, "q", "sequences", "Sequences in a batch.")
		sub.Bool(&o.fencing, "f", "fencing", "Refuse orders with an old fencing number.")
	case serviceStand:
		sub.String(&o.name, "n", "name", "The service's name.")
	}
	return sub
}

func (o *standOptions) engine() *Engine {
	e := NewEngine(o.model, EngineSpeed{
		Step: time.Duration(o.stepMs) * time.Millisecond, PrefillPerToken: time.Duration(o.prefillUs) * time.Microsecond,
		Sequences: o.sequences, PrefixCacheBlocks: defaultCache,
	})
	if o.fencing {
		e.CheckFencing()
	}
	return e
}

const defaultCache = 64

// serve runs until a signal; it prints the address it got.
func serve(name, address string, handler http.Handler, complaints io.Writer) int {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", address)
	if err != nil {
		fmt.Fprintf(complaints, "chivestand %s: %v\n", name, err)
		return exitFailure
	}
	fmt.Fprintf(complaints, "chivestand %s on %s\n", name, listener.Addr())
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		fmt.Fprintf(complaints, "chivestand %s: %v\n", name, err)
		return exitFailure
	}
	return 0
}
