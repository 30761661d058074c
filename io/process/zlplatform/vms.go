package zlplatform

import (
	"context"
	"net/http"

	"zinnialock/core/process/zlunit"
)

// VM is an entry of the platform's list of VMs.
type VM struct {
	// Name and DataCentre identify the VM.
	Name       zlunit.VM         `json:"name"`
	DataCentre zlunit.DataCentre `json:"dataCentre"`
	// Leaving is true for a VM that is about to leave.
	Leaving bool `json:"leaving"`
}

// VMs reads the list of live and leaving VMs. The platform's list lags behind the VMs.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	var vms []VM
	if err := c.call(ctx, "vms", http.MethodGet, "/vms", nil, c.Timeout, &vms); err != nil {
		return nil, err
	}
	return vms, nil
}
