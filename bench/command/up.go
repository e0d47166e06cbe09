package command

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"limehold/bench/fleet"
	"limehold/bench/shape"
)

var shapeFlag = &cli.StringFlag{Name: "shape", Value: "arbok", Usage: "`NAME` of the deployment: acampadas or arbok"}

func upCommand() *cli.Command {
	return &cli.Command{
		Name: "up", Usage: "bring a whole deployment up on loopback and keep it running",
		Flags: []cli.Flag{shapeFlag, &cli.DurationFlag{Name: "duration", Usage: "stop after this time; 0: run until interrupted"}},
		Action: func(ctx context.Context, command *cli.Command) error {
			deployment, err := shape.ByName(command.String("shape"))
			if err != nil {
				return err
			}
			return up(ctx, deployment, command.Duration("duration"))
		},
	}
}

func up(ctx context.Context, deployment *shape.Shape, duration time.Duration) error {
	limebench, limehold, err := binaryPaths()
	if err != nil {
		return err
	}
	folder, err := os.MkdirTemp("", "limehold-up-")
	if err != nil {
		return eris.Wrap(err, "create run folder")
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	running, err := fleet.Start(fleet.Options{Shape: deployment, Folder: folder, Limehold: limehold, Limebench: limebench})
	if err != nil {
		// The folder is kept, since its logs contain the cause.
		return err
	}
	defer os.RemoveAll(folder)
	defer running.Stop()
	printUp(running, limehold)
	if duration > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, duration)
		defer cancel()
	}
	<-ctx.Done()
	return nil
}

func printUp(running *fleet.Fleet, limehold string) {
	deployment := running.Options.Shape
	fmt.Printf("%s is up: %d control members, %d routers, %d agents with stand-in back ends in %d zones (plain TCP on loopback, logs in %s/logs)\n",
		deployment.Name, len(running.Members), len(running.Routers), len(running.AllNodes()), len(deployment.Zones), running.Options.Folder)
	stream := deployment.Streams[0]
	fmt.Printf("\nTry:\n  curl -i http://%s%s/my-key\n", running.Routers[0].Callers.Address(), stream.Prefixes[0])
	fmt.Printf("  %s status --admin %s\n", limehold, running.Members[0].Field("admin"))
	fmt.Printf("  %s explain %s my-key --admin %s\n\nInterrupt to stop.\n", limehold, deployment.KeyedServices()[0], running.Members[0].Field("admin"))
}
