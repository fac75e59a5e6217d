package fanout

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"chalkring/control/subscribers"
)

const (
	maxValueBytes    = 64 << 10        // of a value in a delivery, which has only the hash of a longer one
	deliveryTimeout  = 2 * time.Second // for all attempts of a delivery; a handover waits for deliveries to end
	deliveryAttempts = 3               // of one delivery, all with the same number
	retryDelay       = 200 * time.Millisecond
	maxReplyHead     = 8 << 10 // bytes of the head of a receiver's reply
	maxReplyBytes    = 1 << 16 // read of a reply's body, which a receiver may write before it looks for the connection's end
)

// BlockValue is the value that a block returned.
type BlockValue struct {
	Block int    `json:"block"`
	Hash  string `json:"hash"`            // of the value, also of one that is too long to be delivered
	Value []byte `json:"value,omitempty"` // in base64; left out if longer than 64 KiB
}

// DeliveryMessage is what a receiver gets: the blocks whose values differ from those delivered before. A receiver drops
// a message whose number it has received already. A later message has a higher number, even from another gateway, except
// while regions are partitioned.
type DeliveryMessage struct {
	Tenant   string                     `json:"tenant"`
	ID       string                     `json:"id"`
	Consent  uint64                     `json:"consent"`
	Number   subscribers.DeliveryNumber `json:"number"`
	Previous subscribers.DeliveryNumber `json:"last"` // the number of the delivery before, if known
	Period   int64                      `json:"period"`
	Values   []BlockValue               `json:"values"`
}

// DeliverFunc sends a delivery. An error means that it may not have arrived.
type DeliverFunc func(ctx context.Context, message DeliveryMessage) error

func newDeliveryMessage(delivery subscribers.Delivery, hashes map[int]uint64, values map[int][]byte) DeliveryMessage {
	message := DeliveryMessage{
		Tenant: delivery.Key.Tenant, ID: delivery.Key.ID, Consent: delivery.Consent,
		Number: delivery.Number, Previous: delivery.Previous, Period: delivery.Period,
	}
	for _, block := range delivery.Blocks {
		value := BlockValue{Block: block, Hash: fmt.Sprintf("%016x", hashes[block]), Value: values[block]}
		if len(value.Value) > maxValueBytes {
			value.Value = nil
		}
		message.Values = append(message.Values, value)
	}
	return message
}

// deliverWithRetries makes up to deliveryAttempts attempts, all with the same number.
func deliverWithRetries(ctx context.Context, send DeliverFunc, message DeliveryMessage) (err error) {
	ctx, cancel := context.WithTimeout(ctx, deliveryTimeout)
	defer cancel()
	for attempt := range deliveryAttempts {
		if attempt > 0 {
			select {
			case <-time.After(retryDelay):
			case <-ctx.Done():
				return err
			}
		}
		if err = send(ctx, message); err == nil {
			return nil
		}
	}
	return err
}

// httpClient uses a connection for one delivery: replies have no id, so a second copy of one would be taken for the reply to
// the next delivery.
var httpClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: maxReplyHead, Proxy: nil}}

// DeliverByHTTP returns a function that delivers by HTTP: a POST with the delivery as JSON, accepted by a status from
// 200 to 299.
func DeliverByHTTP(url string) DeliverFunc {
	return func(ctx context.Context, message DeliveryMessage) error {
		if url == "" {
			return &DeliveryFailedError{"nobody", errors.New("the region's file has no URL under deliver")}
		}
		if err := postJSON(ctx, url, message); err != nil {
			return &DeliveryFailedError{url, err}
		}
		return nil
	}
}

func postJSON(ctx context.Context, url string, message DeliveryMessage) error {
	body, err := json.Marshal(message)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := httpClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxReplyBytes)) // only the status matters
	if response.StatusCode < 200 || response.StatusCode > 299 {
		return errors.New(response.Status)
	}
	return nil
}
