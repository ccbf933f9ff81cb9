// Two banks in three halls, with the three classes of a fund-pricing fleet. `oatlink check-settings` reads it.
local halls = ['ebene-a', 'ebene-b', 'cybercity-c'];
local member(bank, number, port) = {
  name: 'box-%d-%d' % [bank, number],
  address: '127.0.0.1:%d' % (port + number),
  hall: halls[number % 3],
};
{
  listen: ['127.0.0.1:6380'],
  hall: 'ebene-a',
  peers: 4,  // gateways in all, each worker counted
  banks: [
    { name: 'funds-a', slots: [[0, 8191]], members: [member(0, n, 7000) for n in std.range(0, 2)] },
    { name: 'funds-b', slots: [[8192, 16383]], members: [member(1, n, 7100) for n in std.range(0, 2)] },
  ],
  classes: [
    {
      name: 'price-view', freshness: 'bounded', effect: 'idempotent', staleness_ms: 500,
      aim_ms: 600, deadline_ms: 2000, worth: 2,
      match: { commands: ['XREVRANGE', 'XRANGE', 'GET'], keys: ['nav:*'], client_names: ['*view*', ''] },
    },
    {
      name: 'price-check', freshness: 'latest', effect: 'idempotent',
      aim_ms: 600, deadline_ms: 1500, worth: 1, late_worth: 0.2,
      match: { keys: ['nav:*'] },
    },
    {
      name: 'price-post', freshness: 'write', effect: 'keyed', repeat_window_ms: 2000,
      aim_ms: 1000, deadline_ms: 3000, worth: 6, late_worth: 0.3,
      wait_replicas: 1, wait_ms: 400,  // a post counts once a replica has it too
      match: { commands: ['XADD'], keys: ['nav:*'] },
    },
  ],
  cold: { share: 0.17, warm_after_ms: 17000, overload_factor: 4, fall_ms: 2000 },
  logs: { form: 'json', level: 'info' },
}
