package control

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"endivedeck.example/contract"
	"endivedeck.example/order"
	"endivedeck.example/wire"
)

func heap() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkRecords measures memory and snapshot by the number of orders on
// record, with answers of 60 bytes.
func BenchmarkRecords(b *testing.B) {
	for _, count := range []int{10_000, 30_000, 100_000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			before := heap()
			state := NewState()
			at := time.Unix(1_800_000_000, 0)
			for i := range count {
				key := order.Key{Customer: "crews", Service: "plant-ledger", Key: fmt.Sprint("order-", i)}
				state.apply(uint64(2*i+1), 1, Command{Begin: &order.Begin{Key: key, Digest: 1, Attempt: "0123456789abcdef", Retention: time.Hour, At: at}})
				answer := order.Response{Status: 201, ContentType: "application/json", Body: make([]byte, 60)}
				state.apply(uint64(2*i+2), 1, Command{Finish: &order.Finish{Key: key, BeginIndex: uint64(2*i + 1), Response: answer}})
			}
			perRecord := (heap() - before) / float64(count)
			var text []byte
			for b.Loop() {
				text, _ = state.Save()
			}
			b.ReportMetric(perRecord, "B/record")
			b.ReportMetric(float64(len(text))/float64(count), "snapshot-B/record")
			runtime.KeepAlive(state)
		})
	}
}

// BenchmarkContracts measures memory by the number of contracts, and the
// bytes that a new holder is sent.
func BenchmarkContracts(b *testing.B) {
	for _, count := range []int{100, 500, 2500} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			before := heap()
			state := NewState()
			for i := range count {
				c := sample(fmt.Sprint("team-", i), 0.0001)
				state.apply(uint64(i+1), 1, Command{Contract: &contract.Change{Customer: c.Customer, Contract: &c}})
			}
			perContract := (heap() - before) / float64(count)
			changed, _ := state.ContractsSince(0)
			text, err := wire.Encode(changed)
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				state.ContractsSince(0)
			}
			b.ReportMetric(perContract, "B/contract")
			b.ReportMetric(float64(len(text))/float64(count), "sent-B/contract")
			runtime.KeepAlive(state)
		})
	}
}
