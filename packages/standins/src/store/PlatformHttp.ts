/**
 * HTTP API of the platform stand-in: instance list, switches and counters.
 */
import type {Context} from 'hono';
import {Hono} from 'hono';
import type {Counters} from './Counters.js';
import type {LaggingInstanceList} from './LaggingInstanceList.js';
import {listedInstanceSchema} from './LaggingInstanceList.js';
import type {SwitchChange, Switches} from './Switches.js';
import {switchChangeSchema} from './Switches.js';

export interface PlatformHttpOptions {
  readonly counters: Counters;
  readonly instances: LaggingInstanceList;
  readonly switches: Switches;
  readonly applySwitches: (change: SwitchChange) => void;
}

export function createPlatformHttp(options: PlatformHttpOptions): Hono {
  const {counters, instances, switches} = options;
  const app = new Hono();

  app.get('/instances', context => {
    counters.add('instances');
    const {listOutage, listLagMs} = switches.state();
    if (listOutage) return context.text('switched off by a test', 503);
    return context.json(instances.visible(listLagMs));
  });

  app.put('/instances/:id', async context => {
    const parsed = listedInstanceSchema.safeParse(await readJson(context));
    if (!parsed.success) return context.text(parsed.error.message, 400);
    instances.set(context.req.param('id'), parsed.data);
    return context.body(null, 204);
  });

  app.delete('/instances/:id', context => {
    instances.remove(context.req.param('id'));
    return context.body(null, 204);
  });

  app.post('/switches', async context => {
    const parsed = switchChangeSchema.safeParse(await readJson(context));
    if (!parsed.success) return context.text(parsed.error.message, 400);
    options.applySwitches(parsed.data);
    return context.json(switches.state());
  });

  app.get('/switches', context => context.json(switches.state()));
  app.get('/counters', context => context.json(counters.counts()));
  return app;
}

/**
 * Reads a JSON body; invalid JSON yields undefined, which no schema accepts.
 */
async function readJson(context: Context): Promise<unknown> {
  try {
    return await context.req.json();
  } catch {
    return undefined;
  }
}
