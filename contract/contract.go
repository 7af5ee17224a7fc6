// Package contract holds what the operators agreed with each customer.
//
// A Contract is the only source of limits: models, classes of work with their
// times and rates, priority, share of the fleet, keys. Book is the replicated
// table of accepted contracts and decides races between operators. View is the
// part of it that is in force at one process.
package contract

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
	"time"

	"endivedeck.example/fault"
	"endivedeck.example/settings"
)

const (
	// MaxPriority is the highest priority of a class; a higher one goes first.
	MaxPriority = 9

	// DefaultOrderRetention is how long the record of an order lasts where the
	// contract doesn't say.
	DefaultOrderRetention = 24 * time.Hour

	maxNameBytes = 64
	maxListItems = 256
	maxKeep      = 31 * 24 * time.Hour
	maxWhole     = 24 * time.Hour
	maxRate      = 1e6
	hashBytes    = sha256.Size
)

type (
	// Contract is what the operators agreed with one customer.
	Contract struct {
		Customer       string            `cbor:"1,keyasint" json:"customer" need:"yes"`
		Models         []string          `cbor:"2,keyasint" json:"models"`
		Services       []string          `cbor:"3,keyasint" json:"services"`
		Classes        map[string]Class  `cbor:"4,keyasint" json:"classes" need:"yes"`
		Share          float64           `cbor:"5,keyasint" json:"share" range:"0..1"` // of the fleet under contention
		Keys           []string          `cbor:"6,keyasint" json:"keys"`               // SHA-256 of each key, in hex
		OrderRetention settings.Duration `cbor:"7,keyasint" json:"keep"`               // how long the record of an order lasts
		RoleStability  float64           `cbor:"8,keyasint" json:"calm" range:"0..1"`  // weight of few role changes against goodput
	}

	// Class is one class of work under a contract.
	Class struct {
		FirstToken    settings.Duration `cbor:"1,keyasint" json:"firstToken"`    // limit from the request to its first token; 0 for none
		BetweenTokens settings.Duration `cbor:"2,keyasint" json:"betweenTokens"` // limit between two tokens; 0 for none
		WholeAnswer   settings.Duration `cbor:"3,keyasint" json:"whole"`         // limit for the whole answer
		Rate          float64           `cbor:"4,keyasint" json:"rate"`          // requests a second over all entries
		Burst         int               `cbor:"5,keyasint" json:"burst"`         // requests that may come at once
		Concurrency   int               `cbor:"6,keyasint" json:"concurrency"`   // requests running over all entries
		Priority      int               `cbor:"7,keyasint" json:"priority"`      // 0 to MaxPriority
	}

	// Accepted is a contract as the log accepted it. Retired ones stay, so
	// that a version is never given twice.
	Accepted struct {
		Contract Contract `cbor:"1,keyasint" json:"contract"`
		Version  uint64   `cbor:"2,keyasint" json:"version"`  // counts the changes of this customer's contract
		Revision uint64   `cbor:"3,keyasint" json:"revision"` // the log's index of the change
		Retired  bool     `cbor:"4,keyasint" json:"retired"`
	}
)

// Check returns fault.Malformed with the field when the contract can't be
// accepted as it stands.
func (c *Contract) Check() error {
	if err := checkName("customer", c.Customer); err != nil {
		return err
	}
	if len(c.Models)+len(c.Services) == 0 {
		return malformed("models: the contract names no model and no service")
	}
	if len(c.Models) > maxListItems || len(c.Services) > maxListItems || len(c.Keys) > maxListItems || len(c.Classes) > maxListItems {
		return malformed("a list has more than %d items", maxListItems)
	}
	for _, name := range slices.Concat(c.Models, c.Services) {
		if err := checkName("models and services", name); err != nil {
			return err
		}
	}
	if c.Share < 0 || c.Share > 1 {
		return malformed("share: want 0 to 1")
	}
	if c.RoleStability < 0 || c.RoleStability > 1 {
		return malformed("calm: want 0 to 1")
	}
	if c.OrderRetention < 0 || c.OrderRetention.Std() > maxKeep {
		return malformed("keep: want 0 to %v", maxKeep)
	}
	if err := c.checkKeys(); err != nil {
		return err
	}
	return c.checkClasses()
}

func (c *Contract) checkKeys() error {
	if len(c.Keys) == 0 {
		return malformed("keys: the contract has no key")
	}
	for _, key := range c.Keys {
		text, err := hex.DecodeString(key)
		if err != nil || len(text) != hashBytes {
			return malformed("keys: want the SHA-256 of a key in hex (endivedeck contract hash makes it)")
		}
	}
	return nil
}

func (c *Contract) checkClasses() error {
	if len(c.Classes) == 0 {
		return malformed("classes: the contract has no class of work")
	}
	for name, class := range c.Classes {
		if err := checkName("classes", name); err != nil {
			return err
		}
		if err := class.check("classes." + name); err != nil {
			return err
		}
	}
	return nil
}

func (c Class) check(path string) error {
	switch {
	case c.WholeAnswer <= 0 || c.WholeAnswer.Std() > maxWhole:
		return malformed("%s.whole: want more than 0 and up to %v", path, maxWhole)
	case c.FirstToken < 0 || c.FirstToken > c.WholeAnswer:
		return malformed("%s.firstToken: want 0 to the time for the whole answer", path)
	case c.BetweenTokens < 0 || c.BetweenTokens > c.WholeAnswer:
		return malformed("%s.betweenTokens: want 0 to the time for the whole answer", path)
	case !(c.Rate > 0 && c.Rate <= maxRate):
		return malformed("%s.rate: want more than 0 and up to %v requests a second", path, maxRate)
	case c.Burst < 1 || c.Burst > maxRate:
		return malformed("%s.burst: want 1 to %d requests", path, int(maxRate))
	case c.Concurrency < 1 || c.Concurrency > maxRate:
		return malformed("%s.concurrency: want 1 to %d requests", path, int(maxRate))
	case c.Priority < 0 || c.Priority > MaxPriority:
		return malformed("%s.priority: want 0 to %d", path, MaxPriority)
	}
	return nil
}

// HashKey returns the form in which a contract keeps a customer's key.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// AllowsModel reports whether the contract names the model.
func (c *Contract) AllowsModel(model string) bool { return slices.Contains(c.Models, model) }

// AllowsService reports whether the contract names the plain service.
func (c *Contract) AllowsService(service string) bool { return slices.Contains(c.Services, service) }

// EffectiveOrderRetention returns how long the record of an order lasts.
func (c *Contract) EffectiveOrderRetention() time.Duration {
	if c.OrderRetention == 0 {
		return DefaultOrderRetention
	}
	return c.OrderRetention.Std()
}

func checkName(field, name string) error {
	if name == "" || len(name) > maxNameBytes || strings.ContainsFunc(name, outsideName) {
		return malformed("%s: %q is no name: want 1 to %d of a-z, A-Z, 0-9, '-', '_' and '.'", field, name, maxNameBytes)
	}
	return nil
}

func outsideName(r rune) bool {
	switch {
	case 'a' <= r && r <= 'z', 'A' <= r && r <= 'Z', '0' <= r && r <= '9':
		return false
	}
	return !strings.ContainsRune("-_.", r)
}

func malformed(format string, args ...any) error {
	return fault.New(fault.Malformed, fault.No, format, args...)
}
