// Package vmlist is the client of the platform's list of live and leaving VMs.
// The list lags behind the actual state by an unknown time.
package vmlist

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"time"
)

// MaxVMs bounds the length of a list.
const MaxVMs = 10_000

const maxNameBytes = 256

// State is the state of a VM in the list.
type State string

// States of a VM.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// VM is one entry of the list. Address is the zero Addr if the platform has sent
// none.
type VM struct {
	Name          string     `json:"name"`
	FailureDomain string     `json:"failure_domain"`
	State         State      `json:"state"`
	Address       netip.Addr `json:"address"`
}

// List is the list of VMs at the time AsOf of the platform's clock. It is
// immutable after Parse has returned it.
type List struct {
	VMs  []VM      `json:"vms"`
	AsOf time.Time `json:"as_of"`
}

// InvalidError reports a list that doesn't conform to the API.
type InvalidError struct{ Reason string }

func (e *InvalidError) Error() string { return "invalid VM list: " + e.Reason }

// Parse decodes a list and validates it. The error is an *InvalidError.
func Parse(data []byte) (*List, error) {
	var list List
	if err := json.Unmarshal(data, &list); err != nil {
		return nil, fmt.Errorf("vmlist.Parse: %w", &InvalidError{Reason: err.Error()})
	}
	if err := list.Validate(); err != nil {
		return nil, fmt.Errorf("vmlist.Parse: %w", err)
	}
	return &list, nil
}

// Validate checks the list. The error is an *InvalidError.
func (l *List) Validate() error {
	if l.VMs == nil {
		return &InvalidError{Reason: "no vms"}
	}
	if l.AsOf.IsZero() {
		return &InvalidError{Reason: "no as_of"}
	}
	if len(l.VMs) > MaxVMs {
		return &InvalidError{Reason: fmt.Sprintf("%d VMs, accepted are %d", len(l.VMs), MaxVMs)}
	}
	names := make(map[string]struct{}, len(l.VMs))
	for _, vm := range l.VMs {
		if vm.Name == "" || len(vm.Name) > maxNameBytes || len(vm.FailureDomain) > maxNameBytes {
			return &InvalidError{Reason: fmt.Sprintf("name of %d and failure domain of %d bytes", len(vm.Name), len(vm.FailureDomain))}
		}
		if vm.State != Live && vm.State != Leaving {
			return &InvalidError{Reason: fmt.Sprintf("VM %q has the state %q", vm.Name, vm.State)}
		}
		if _, ok := names[vm.Name]; ok {
			return &InvalidError{Reason: fmt.Sprintf("VM %q is in the list twice", vm.Name)}
		}
		names[vm.Name] = struct{}{}
	}
	return nil
}
