package chivecommand

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"chivedrift/chiveconfig"
	"chivedrift/chivelog"
)

// history reads the configuration stream from its first retained record and applies the rule of acceptance.
func history(ctx context.Context, client *chivelog.Client) (h *chiveconfig.History, next int64, err error) {
	h = chiveconfig.NewHistory()
	next, err = extend(ctx, client, h, 0)
	return h, next, err
}

// extend applies the records from an offset on and returns the next offset.
func extend(ctx context.Context, client *chivelog.Client, h *chiveconfig.History, from int64) (int64, error) {
	for {
		batch, err := client.Read(ctx, chiveconfig.Stream, from, 0)
		if err != nil {
			return from, fmt.Errorf("read the configuration stream: %w", err)
		}
		if batch.First > from {
			h.Gap()
		}
		for _, entry := range batch.Records {
			// A record that this release cannot decode is skipped, as every node does.
			if r, err := chiveconfig.DecodeRecord(entry.Data); err == nil {
				h.Apply(r)
			}
		}
		if len(batch.Records) > 0 {
			from = batch.Records[len(batch.Records)-1].Offset + 1
		}
		if from = max(from, batch.First); from >= batch.Next {
			return from, nil
		}
	}
}

const adminTimeout = 2 * time.Second

// adminGet fetches a JSON page of a node's admin address.
func adminGet(ctx context.Context, address, path string, value any) error {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return fmt.Errorf("%s: %w", address, err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("%s: %w", address, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return fmt.Errorf("%s: %w", address, err)
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s%s answered %s: %s", address, path, response.Status, body)
	}
	if err := json.Unmarshal(body, value); err != nil {
		return fmt.Errorf("%s%s: %w", address, path, err)
	}
	return nil
}
