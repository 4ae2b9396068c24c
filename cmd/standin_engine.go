package cmd

import (
	"context"
	"net"
	"net/netip"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"wisteriadyke/core/fleet"
	"wisteriadyke/standin/engine"
	"wisteriadyke/standin/register"
)

// standinEngineFlags holds the flags of the standin engine command.
type standinEngineFlags struct {
	address  string
	platform string
	id       string
	pool     string
	zone     string
	settings engine.Settings
}

// newStandinEngineCommand returns the command that runs one model engine stand-in.
func newStandinEngineCommand() *cobra.Command {
	flags := standinEngineFlags{settings: engine.DefaultSettings()}
	command := &cobra.Command{
		Use:   "engine",
		Short: "Run a model engine stand-in",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			log := zerolog.New(c.ErrOrStderr()).With().Timestamp().Logger()
			return runStandinEngine(c.Context(), flags, log)
		},
	}
	set := command.Flags()
	set.StringVar(&flags.address, "address", "127.0.0.1:7101", "address to listen at")
	set.StringVar(&flags.platform, "platform", "", "address of the platform stand-in to register at")
	set.StringVar(&flags.id, "id", "e1", "name of the endpoint")
	set.StringVar(&flags.pool, "pool", "summaries", "pool of the endpoint")
	set.StringVar(&flags.zone, "zone", "a", "availability zone of the endpoint")
	s := &flags.settings
	set.Int64Var((*int64)(&s.Memory), "memory", int64(s.Memory), "KV cache memory in tokens")
	set.Float64Var(&s.PrefillPace, "prefill-pace", s.PrefillPace, "prompt tokens prefilled per second")
	set.Float64Var(&s.DecodePace, "decode-pace", s.DecodePace, "tokens generated per second by one stream alone")
	set.IntVar(&s.ColdLimit, "cold-limit", s.ColdLimit, "concurrent attempts that a cold engine survives")
	set.Int64Var((*int64)(&s.ColdTokens), "cold-tokens", int64(s.ColdTokens),
		"memory in use that a cold engine survives in tokens, 0 for all")
	set.DurationVar(&s.ColdTime, "cold-time", s.ColdTime, "length of a cold start")
	set.DurationVar(&s.RestartTime, "restart-time", s.RestartTime, "time for which a dead engine does not answer")
	set.DurationVar(&s.LoadLag, "load-lag", s.LoadLag, "age of the load report")
	set.DurationVar(&s.CacheLag, "cache-lag", s.CacheLag, "age of published cache events")
	set.Uint64Var(&s.CacheGap, "cache-gap", s.CacheGap, "lose every n-th cache event, 0 for none")
	set.BoolVar(&s.CheckFence, "check-fence", s.CheckFence, "refuse old fencing tokens")
	set.BoolVar(&s.HoldOrphans, "hold-orphans", s.HoldOrphans, "keep the memory of attempts whose caller has disconnected")
	return command
}

// runStandinEngine runs one engine until ctx ends or the process receives SIGTERM or SIGINT.
func runStandinEngine(ctx context.Context, flags standinEngineFlags, log zerolog.Logger) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	address, err := netip.ParseAddrPort(flags.address)
	if err != nil {
		return inputErrorf("--address: %v", err)
	}
	registration, err := flags.registration(address)
	if err != nil {
		return err
	}
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", flags.address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	flags.settings.Model = flags.pool
	server := &engine.Engine{Settings: flags.settings, Listener: listener}
	log.Info().Str("id", flags.id).Stringer("address", address).Msg("engine stand-in: serving")
	err = registration.Serve(ctx, server.Run, server.Running)
	log.Info().Str("id", flags.id).Msg("engine stand-in: stopped")
	return err
}

// registration returns the registration of the endpoint at address, or nil without --platform.
func (f *standinEngineFlags) registration(address netip.AddrPort) (*register.Registration, error) {
	if f.platform == "" {
		return nil, nil
	}
	platform, err := netip.ParseAddrPort(f.platform)
	if err != nil {
		return nil, inputErrorf("--platform: %v", err)
	}
	return &register.Registration{
		Platform: platform,
		Endpoint: fleet.Endpoint{
			ID:          fleet.EndpointID(f.id),
			Kind:        fleet.KindEngine,
			Pool:        fleet.PoolName(f.pool),
			Zone:        fleet.Zone(f.zone),
			Address:     address,
			State:       fleet.StateLive,
			Memory:      f.settings.Memory,
			ChecksFence: f.settings.CheckFence,
		},
	}, nil
}
