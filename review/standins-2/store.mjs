/** Stand-in for the platform's store: pages of items and waiting watches, as PROTOCOL.md gives them. */
import http from 'node:http';
import {freePort} from './ports.mjs';

/** Most items of one page. */
const PAGE_ITEMS = 500;

/** Starts a store at `host`; `put` and `remove` are what operator and servers write. */
export async function startStore(host) {
  const items = new Map();
  const events = [];
  const watches = new Set();
  /** Writes that wait for the end of an outage, by key. */
  const waiting = new Map();
  let isDown = false;
  let revision = 100;

  const answer = (response, status, body) => {
    response.writeHead(status, {'content-type': 'application/json'});
    response.end(JSON.stringify(body));
  };
  const range = (query, response) => {
    const prefix = query.get('prefix') ?? '';
    const after = query.get('after') ?? '';
    const found = [...items.values()]
      .filter(({key}) => key.startsWith(prefix) && key > after)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    answer(response, 200, {
      items: found.slice(0, PAGE_ITEMS),
      has_more: found.length > PAGE_ITEMS,
      current_rev: revision,
    });
  };
  const watch = (query, response) => {
    const prefix = query.get('prefix') ?? '';
    const after = Number(query.get('after'));
    const found = () =>
      events.filter(
        event => event.revision > after && event.key.startsWith(prefix),
      );
    const finish = () => {
      clearTimeout(timer);
      watches.delete(check);
      answer(response, 200, {events: found(), current_rev: revision});
    };
    const check = () => {
      if (found().length > 0) finish();
    };
    const timer = setTimeout(finish, Number(query.get('wait_ms')));
    watches.add(check);
    response.on('close', () => {
      clearTimeout(timer);
      watches.delete(check);
    });
    check();
  };
  const server = http.createServer((request, response) => {
    const url = new URL(request.url, 'http://store');
    if (isDown) {
      answer(response, 503, {});
      return;
    }
    if (url.pathname === '/kv-watch') watch(url.searchParams, response);
    else if (url.pathname === '/kv-range') range(url.searchParams, response);
    else answer(response, 404, {});
  });
  const change = event => {
    events.push(event);
    for (const check of [...watches]) check();
  };
  const put = (key, value) => {
    if (isDown) {
      waiting.set(key, value);
      return;
    }
    revision += 1;
    const text = JSON.stringify(value);
    const item = {
      key,
      value: Buffer.from(text).toString('base64'),
      revision,
      create_revision: items.get(key)?.create_revision ?? revision,
      lease: 0,
    };
    items.set(key, item);
    change(item);
  };
  const port = await freePort(host);
  return new Promise(resolve => {
    server.listen(port, host, () => {
      resolve({
        address: `${host}:${port}`,
        put,
        /** Refuses all calls until it is set again; servers write again when it returns. */
        setDown: down => {
          isDown = down;
          if (isDown) return;
          for (const [key, value] of waiting) put(key, value);
          waiting.clear();
        },
        remove: key => {
          revision += 1;
          items.delete(key);
          change({key, revision, deleted: true});
        },
        close: () => {
          server.closeAllConnections();
          server.close();
        },
      });
    });
  });
}
