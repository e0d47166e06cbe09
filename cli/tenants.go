package cli

import (
	"context"
	"fmt"
	"strings"

	"github.com/urfave/cli/v3"

	"limehold/adminapi"
)

func tenantsCommand() *cli.Command {
	return &cli.Command{
		Name: "tenants", Usage: "list tenants with their quotas and how far these are used", Flags: withFlags(clientFlags, []cli.Flag{staleFlag}),
		Action: func(_ context.Context, command *cli.Command) error {
			var list []adminapi.Tenant
			if err := get(command, adminapi.PathTenants, nil, &list); err != nil {
				return err
			}
			return show(command, list, tenantTable(list))
		},
	}
}

func tenantTable(list []adminapi.Tenant) *table {
	rows := &table{header: []string{"TENANT", "API KEYS", "PRIORITY", "REGIONS", "RATE", "BURST", "AVAILABLE", "GRANTED", "REFUSED"}}
	for _, tenant := range list {
		priority, regions, rate, available := "route's", "all", "unlimited", ""
		if tenant.Priority != nil {
			priority = fmt.Sprint(*tenant.Priority)
		}
		if len(tenant.Regions) > 0 {
			regions = strings.Join(tenant.Regions, ",")
		}
		if tenant.Rate > 0 {
			rate = fmt.Sprintf("%g/s", tenant.Rate)
		}
		var used adminapi.QuotaUsage
		if tenant.Quota != nil {
			used = *tenant.Quota
			available = fmt.Sprintf("%.0f of %.0f", used.Available, used.Capacity)
		}
		rows.add(tenant.Name, tenant.APIKeys, priority, regions, rate, tenant.Burst, available, used.Granted, used.Refused)
	}
	return rows
}
