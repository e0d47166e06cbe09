package cli

import (
	"context"
	"crypto/tls"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"limehold/settings"
	"limehold/standalone"
)

func standaloneCommand() *cli.Command {
	return &cli.Command{
		Name: "standalone", Usage: "run control, router and agent in one process, for evaluation",
		Flags: processFlags,
		Description: "It requires a back end that implements the back-end protocol. Example:\n" +
			"   limehold standalone --name laptop --zone home --data-folder /tmp/limehold \\\n" +
			"     --set agent.backend=127.0.0.1:9000 --set agent.pool=proofs --set router.listen=127.0.0.1:8080",
		Action: func(ctx context.Context, command *cli.Command) error {
			return runProcess(ctx, command, settings.RoleStandalone, func(config settings.Settings, logger *zap.Logger, tlsConfig *tls.Config) (process, error) {
				token, err := readToken(config.Admin.TokenFile)
				if err != nil {
					return nil, err
				}
				return standalone.New(config, logger, tlsConfig, token)
			})
		},
	}
}
