// Package contract holds the contracts between the operators and the customers.
//
// A Contract is the only source of a customer's limits: models and services,
// request classes with their latency limits, rates and priorities, the share of
// the fleet, and the keys. Store is the replicated table of accepted contracts;
// it resolves conflicting changes by several operators. View holds the
// contracts in force at one process.
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
	// MaxPriority is the highest priority of a class. Requests of a higher
	// priority go first.
	MaxPriority = 9

	// DefaultOrderRetention is how long the record of an order is kept if the
	// contract does not set OrderRetention.
	DefaultOrderRetention = 24 * time.Hour

	maxNameBytes      = 64
	maxListItems      = 256
	maxOrderRetention = 31 * 24 * time.Hour
	maxAnswerTime     = 24 * time.Hour
	maxRate           = 1e6 // also of Burst and Concurrency
	keyHashBytes      = sha256.Size
)

type (
	// Contract is the contract with one customer.
	Contract struct {
		Customer       string            `cbor:"1,keyasint" json:"customer" need:"yes"`
		Models         []string          `cbor:"2,keyasint" json:"models"`
		Services       []string          `cbor:"3,keyasint" json:"services"`
		Classes        map[string]Class  `cbor:"4,keyasint" json:"classes" need:"yes"`
		Share          float64           `cbor:"5,keyasint" json:"share" range:"0..1"` // of the fleet, guaranteed under contention
		Keys           []string          `cbor:"6,keyasint" json:"keys"`               // SHA-256 of each key, hex-encoded
		OrderRetention settings.Duration `cbor:"7,keyasint" json:"keep"`               // how long the record of an order is kept; 0 for DefaultOrderRetention
		RoleStability  float64           `cbor:"8,keyasint" json:"calm" range:"0..1"`  // preference for few role changes over goodput
	}

	// Class is one class of requests under a contract.
	Class struct {
		FirstToken    settings.Duration `cbor:"1,keyasint" json:"firstToken"`    // latency limit from the request to its first token; 0 for none
		BetweenTokens settings.Duration `cbor:"2,keyasint" json:"betweenTokens"` // latency limit between two tokens; 0 for none
		WholeAnswer   settings.Duration `cbor:"3,keyasint" json:"whole"`         // latency limit for the whole answer
		Rate          float64           `cbor:"4,keyasint" json:"rate"`          // requests per second over all entry processes
		Burst         int               `cbor:"5,keyasint" json:"burst"`         // requests that may start at once, beyond the steady rate
		Concurrency   int               `cbor:"6,keyasint" json:"concurrency"`   // running requests over all entry processes
		Priority      int               `cbor:"7,keyasint" json:"priority"`      // 0 to MaxPriority
	}

	// Accepted is a contract as the replicated log accepted it. Retired
	// contracts are kept, so that a version number is never used twice.
	Accepted struct {
		Contract Contract `cbor:"1,keyasint" json:"contract"`
		Version  uint64   `cbor:"2,keyasint" json:"version"`  // number of changes to this customer's contract
		Revision uint64   `cbor:"3,keyasint" json:"revision"` // log index of the change
		Retired  bool     `cbor:"4,keyasint" json:"retired"`
	}
)

// Check returns fault.Malformed with the name of the field if the contract is
// not valid by itself.
func (c *Contract) Check() error {
	if err := checkName("customer", c.Customer); err != nil {
		return err
	}
	if len(c.Models)+len(c.Services) == 0 {
		return malformed("models: want at least one model or service")
	}
	if len(c.Models) > maxListItems || len(c.Services) > maxListItems || len(c.Keys) > maxListItems || len(c.Classes) > maxListItems {
		return malformed("models, services, keys, classes: want up to %d of each", maxListItems)
	}
	for _, name := range slices.Concat(c.Models, c.Services) {
		if err := checkName("models and services", name); err != nil {
			return err
		}
	}
	if c.Share < 0 || c.Share > 1 {
		return malformed("share: want 0 to 1, got %v", c.Share)
	}
	if c.RoleStability < 0 || c.RoleStability > 1 {
		return malformed("calm: want 0 to 1, got %v", c.RoleStability)
	}
	if c.OrderRetention < 0 || c.OrderRetention.Std() > maxOrderRetention {
		return malformed("keep: want 0 to %v, got %v", maxOrderRetention, c.OrderRetention.Std())
	}
	if err := c.checkKeys(); err != nil {
		return err
	}
	return c.checkClasses()
}

func (c *Contract) checkKeys() error {
	if len(c.Keys) == 0 {
		return malformed("keys: want at least one key")
	}
	for _, key := range c.Keys {
		hash, err := hex.DecodeString(key)
		if err != nil || len(hash) != keyHashBytes {
			return malformed("keys: want the hex-encoded SHA-256 hash of a key, as printed by \"endivedeck contract hash\"")
		}
	}
	return nil
}

func (c *Contract) checkClasses() error {
	if len(c.Classes) == 0 {
		return malformed("classes: want at least one class")
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
	case c.WholeAnswer <= 0 || c.WholeAnswer.Std() > maxAnswerTime:
		return malformed("%s.whole: want more than 0 and up to %v, got %v", path, maxAnswerTime, c.WholeAnswer.Std())
	case c.FirstToken < 0 || c.FirstToken > c.WholeAnswer:
		return malformed("%s.firstToken: want 0 to the limit for the whole answer (%v), got %v", path, c.WholeAnswer.Std(), c.FirstToken.Std())
	case c.BetweenTokens < 0 || c.BetweenTokens > c.WholeAnswer:
		return malformed("%s.betweenTokens: want 0 to the limit for the whole answer (%v), got %v", path, c.WholeAnswer.Std(), c.BetweenTokens.Std())
	case !(c.Rate > 0 && c.Rate <= maxRate):
		return malformed("%s.rate: want more than 0 and up to %v requests per second, got %v", path, maxRate, c.Rate)
	case c.Burst < 1 || c.Burst > maxRate:
		return malformed("%s.burst: want 1 to %d requests, got %d", path, int(maxRate), c.Burst)
	case c.Concurrency < 1 || c.Concurrency > maxRate:
		return malformed("%s.concurrency: want 1 to %d requests, got %d", path, int(maxRate), c.Concurrency)
	case c.Priority < 0 || c.Priority > MaxPriority:
		return malformed("%s.priority: want 0 to %d, got %d", path, MaxPriority, c.Priority)
	}
	return nil
}

// HashKey returns the hash of a customer's key, in the form in which a
// contract holds it.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// canonicalHash returns the form in which hashes of keys are compared. The hex
// digits of a contract may be in upper case.
func canonicalHash(hash string) string { return strings.ToLower(hash) }

// holdsKey reports whether the contract has the key with a hash.
func (c *Contract) holdsKey(hash string) bool {
	return slices.ContainsFunc(c.Keys, func(key string) bool { return canonicalHash(key) == canonicalHash(hash) })
}

// AllowsModel reports whether the contract names the model.
func (c *Contract) AllowsModel(model string) bool { return slices.Contains(c.Models, model) }

// AllowsService reports whether the contract names the service.
func (c *Contract) AllowsService(service string) bool { return slices.Contains(c.Services, service) }

// EffectiveOrderRetention returns OrderRetention, or the default where it is 0.
func (c *Contract) EffectiveOrderRetention() time.Duration {
	if c.OrderRetention == 0 {
		return DefaultOrderRetention
	}
	return c.OrderRetention.Std()
}

func checkName(field, name string) error {
	if name == "" || len(name) > maxNameBytes || strings.ContainsFunc(name, isInvalidNameRune) {
		return malformed("%s: %q is not a valid name: want 1 to %d characters of a-z, A-Z, 0-9, '-', '_' and '.'", field, name, maxNameBytes)
	}
	return nil
}

func isInvalidNameRune(r rune) bool {
	switch {
	case 'a' <= r && r <= 'z', 'A' <= r && r <= 'Z', '0' <= r && r <= '9':
		return false
	}
	return !strings.ContainsRune("-_.", r)
}

func malformed(format string, args ...any) error {
	return fault.New(fault.Malformed, fault.NotRun, format, args...)
}
