"""Contracts of services, pools and jobs, and the decisions that keep them.

Two programs use this package, and some subjects therefore have two modules:

- Entry hosts (`wisteriasill.daemon`) forward requests to the pools of services
  and run the jobs that service files declare. Their modules include `service`,
  `jobs`, `placement`, `moves`, `maintenance`, `wave_plan` and `lease_rules`.
- Nodes (`platform/entry.py`) run the jobs that callers submit to queues. Their
  modules are `queue`, `job_spec`, `host_record`, `host_moves`, `work_order`,
  `worker_choice`, `stragglers`, `pacing`, `arrival_rate` and `shard_choice`.
"""
