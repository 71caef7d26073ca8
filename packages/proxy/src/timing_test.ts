import t from "tap";
import {
  ANSWER,
  send,
  startMesh,
  startScriptedServer,
} from "./mesh_fixture.ts";

// The response to a caller that did not ask must not reveal timings, and the times must cover both daemons.
t.test("should report where the time of a request went only when asked", async (t) => {
  const net = "22.41";
  const upstream = await startScriptedServer(
    `127.${net}.1`,
    (socket) => socket.write(ANSWER),
  );
  t.teardown(() => upstream.close());
  const mesh = await startMesh({ net, upstreamPorts: [upstream.port] });
  t.teardown(() => mesh.close());
  const plain = await send(mesh);
  t.equal(plain.outcome, "answered");
  t.notMatch(plain.text, /server-timing/i);
  const timed = await send(mesh, "GET", "tanagercove-timing: 1\r\n");
  const total = (side: string) =>
    Number(
      new RegExp(`^server-timing: ${side}_total;dur=([\\d.]+)`, "im")
        .exec(timed.text)?.[1],
    );
  t.ok(total("owner") > 0, timed.text);
  t.ok(total("caller") > total("owner"), timed.text);
  t.notMatch(upstream.heads.join(""), /tanagercove-timing/);
});
