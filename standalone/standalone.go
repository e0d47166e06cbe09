// Package standalone runs one control member, one router and one agent in one process.
// They use the same code as the separate processes and connect over loopback.
package standalone

import (
	"context"
	"crypto/tls"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"limehold/agent"
	"limehold/control"
	"limehold/metrics"
	"limehold/router"
	"limehold/settings"
)

// Process consists of a control member, a router and an optional agent.
type Process struct {
	member *control.Member
	router *router.Router
	agent  *agent.Agent
}

// New builds the parts with the given settings, except for the addresses by which the parts
// reach each other, which it sets itself. The agent is omitted if agent.backend is empty.
// secured secures the connections between the parts; nil means plain TCP. token is what operators must
// present; if it is empty, none is required.
func New(config settings.Settings, logger *zap.Logger, secured *tls.Config, token string) (*Process, error) {
	config.Control.Members = nil
	if config.Zone == "" {
		config.Zone = "local"
	}
	if err := config.Validate(settings.RoleControl); err != nil {
		return nil, err
	}
	process := &Process{}
	var err error
	if process.member, err = control.New(control.Options{Settings: config, Logger: logger.With(zap.String("part", "control")), Metrics: metrics.New(), TLS: secured, Token: token}); err != nil {
		return nil, err
	}
	// The admin address in the settings belongs to the control member.
	config.Admin.Listen = settings.Default().Admin.Listen
	config.Router.Control = []string{process.member.Address()}
	if err := config.Validate(settings.RoleRouter); err != nil {
		return nil, err
	}
	if process.router, err = router.New(router.Options{Settings: config, Logger: logger.With(zap.String("part", "router")), Metrics: metrics.New(), TLS: secured}); err != nil {
		return nil, err
	}
	if config.Agent.Backend == "" {
		return process, nil
	}
	config.Agent.Control = config.Router.Control
	// There is no other node to which the shards could move before a stop.
	config.Agent.StopMode = settings.StopRestart
	if err := config.Validate(settings.RoleAgent); err != nil {
		return nil, err
	}
	process.agent, err = agent.New(agent.Options{Settings: config, Logger: logger.With(zap.String("part", "agent")), Metrics: metrics.New(), TLS: secured})
	return process, err
}

// Run runs the parts until ctx ends or one of them does. The agent and the router stop before control.
func (p *Process) Run(ctx context.Context) error {
	clients := []part{p.router.Run}
	if p.agent != nil {
		clients = append(clients, p.agent.Run)
	}
	return runParts(ctx, p.member.Run, clients...)
}

// part runs a part of the process until its context ends or it fails.
type part func(context.Context) error

// runParts runs the server and its clients until ctx ends or one of them does. Then it stops the clients and, once
// they have ended, the server. It returns the first error of a client, or else that of the server.
func runParts(ctx context.Context, server part, clients ...part) error {
	ctx, stopAll := context.WithCancel(ctx)
	defer stopAll()
	serverContext, stopServer := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServer()
	start := func(group *errgroup.Group, run part, partContext context.Context) {
		group.Go(func() error {
			defer stopAll()
			return run(partContext)
		})
	}
	var clientGroup, serverGroup errgroup.Group
	for _, client := range clients {
		start(&clientGroup, client, ctx)
	}
	start(&serverGroup, server, serverContext)
	err := clientGroup.Wait()
	stopServer()
	if serverErr := serverGroup.Wait(); err == nil {
		err = serverErr
	}
	return err
}
