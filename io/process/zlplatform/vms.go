package zlplatform

import (
	"context"
	"net/http"

	"zinnialock/core/process/zlunit"
)

// VM is an entry of the platform's list of VMs, which lags.
type VM struct {
	Name       zlunit.VM         `json:"name"`
	DataCentre zlunit.DataCentre `json:"dataCentre"`
	Leaving    bool              `json:"leaving"`
}

// VMs reads the list of live and leaving VMs.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	var vms []VM
	if err := c.call(ctx, "vms", http.MethodGet, "/vms", nil, c.Timeout, &vms); err != nil {
		return nil, err
	}
	return vms, nil
}
