#include "godwit/membership/simulated_routers.h"

#include <algorithm>

namespace Godwit::Simulation
{
namespace
{

std::size_t indexOf(const Incarnation &incarnation)
{
    return std::stoul(incarnation.value.substr(5));
}

} // namespace

SimulatedRouters::SimulatedRouters(RoutersOptions routersOptions)
    : options(std::move(routersOptions))
    , nodes(options.nodes)
    , m_random(options.seed)
{
    for (std::size_t node = 0; node < nodes.size(); ++node) {
        start(node);
    }
}

Incarnation SimulatedRouters::nameOf(std::size_t node) const
{
    return Incarnation("node-" + std::to_string(node) + '.' + std::to_string(nodes[node].life));
}

bool SimulatedRouters::separated(std::size_t a, std::size_t b) const
{
    return m_separated && (m_separated(a, b) || m_separated(b, a));
}

void SimulatedRouters::at(TimePoint time, std::function<void()> what)
{
    m_events.emplace(time, std::move(what));
}

void SimulatedRouters::start(std::size_t node)
{
    RouterNode &self = nodes[node];
    ++self.life;
    self.up = true;
    self.paused = false;
    self.unread.clear();
    self.goneAt.clear();
    self.liveAt.clear();
    MembershipOptions membership = options.membership;
    membership.self = nameOf(node);
    membership.host = HostId("host-" + std::to_string(node));
    membership.dataCentre = DataCentreId("dc-" + std::to_string(node % options.dataCentres));
    membership.address = std::to_string(node);
    self.state = makeMembership(membership, m_now);
    tellHosts(node);
    const Duration phase = membership.period * static_cast<int>(m_random() % 1000) / 1000;
    at(m_now + phase, [this, node, life = self.life] {
        if (nodes[node].life == life) {
            beat(node);
        }
    });
}

// The list shows all hosts, also those whose router has died: it lags.
void SimulatedRouters::tellHosts(std::size_t node)
{
    std::vector<HostEntry> hosts;
    for (std::size_t other = 0; other < nodes.size(); ++other) {
        HostEntry entry;
        entry.host = HostId("host-" + std::to_string(other));
        entry.dataCentre = DataCentreId("dc-" + std::to_string(other % options.dataCentres));
        entry.address = std::to_string(other);
        hosts.push_back(std::move(entry));
    }
    perform(node, onHostList(nodes[node].state, hosts, m_now));
}

void SimulatedRouters::beat(std::size_t node)
{
    RouterNode &self = nodes[node];
    if (!self.up) {
        return;
    }
    if (!self.paused) {
        perform(node, onTick(self.state, m_now));
    }
    const TimePoint next = std::max(nextWake(self.state), m_now + std::chrono::milliseconds(1));
    at(next, [this, node, life = self.life] {
        if (nodes[node].life == life) {
            beat(node);
        }
    });
}

void SimulatedRouters::connect(std::size_t from, const std::string &address)
{
    const std::size_t to = std::stoul(address);
    at(m_now + options.delay * 2, [this, from, to] {
        const bool possible = nodes[from].up && nodes[to].up && !nodes[to].paused && !separated(from, to);
        if (possible && from != to && m_links.emplace(std::min(from, to), std::max(from, to)).second) {
            perform(from, onPeerLinkUp(nodes[from].state, nameOf(to), true, m_now));
            perform(to, onPeerLinkUp(nodes[to].state, nameOf(from), false, m_now));
        }
    });
}

void SimulatedRouters::unlink(std::size_t a, std::size_t b)
{
    if (m_links.erase({std::min(a, b), std::max(a, b)}) == 0) {
        return;
    }
    for (const auto &[node, peer] : {std::pair(a, b), std::pair(b, a)}) {
        if (nodes[node].up) {
            perform(node, onPeerLinkDown(nodes[node].state, nameOf(peer), m_now));
        }
    }
}

void SimulatedRouters::kill(std::size_t node)
{
    nodes[node].up = false;
    for (std::size_t other = 0; other < nodes.size(); ++other) {
        unlink(node, other);
    }
}

void SimulatedRouters::pause(std::size_t node)
{
    nodes[node].paused = true;
}

void SimulatedRouters::resume(std::size_t node)
{
    RouterNode &self = nodes[node];
    self.paused = false;
    // The worst order for the resumed process: its overdue tick comes before the messages that wait in sockets.
    perform(node, onTick(self.state, m_now));
    for (const HeartbeatBody &body : std::exchange(self.unread, {})) {
        perform(node, onHeartbeat(self.state, body.sender.incarnation, body, m_now));
    }
}

void SimulatedRouters::cut(std::function<bool(std::size_t, std::size_t)> isSeparated)
{
    m_separated = std::move(isSeparated);
}

void SimulatedRouters::drain(std::size_t node)
{
    perform(node, setDraining(nodes[node].state, m_now));
}

void SimulatedRouters::perform(std::size_t node, const MembershipActions &actions)
{
    RouterNode &self = nodes[node];
    for (const MembershipAction &action : actions) {
        if (const auto *send = std::get_if<SendHeartbeat>(&action)) {
            const std::size_t to = indexOf(send->to);
            ++self.messagesSent;
            self.bytesSent += encodeHeartbeat(send->body).size();
            const bool lost = std::uniform_real_distribution<double>(0, 1)(m_random) < options.lostHeartbeats;
            if (lost || separated(node, to)) {
                continue;
            }
            at(m_now + options.delay, [this, to, life = nodes[to].life, body = send->body] {
                RouterNode &receiver = nodes[to];
                if (!receiver.up || receiver.life != life) {
                    return;
                }
                if (receiver.paused) {
                    receiver.unread.push_back(body);
                    return;
                }
                perform(to, onHeartbeat(receiver.state, body.sender.incarnation, body, m_now));
            });
        } else if (const auto *dial = std::get_if<ConnectPeer>(&action)) {
            connect(node, dial->address);
        } else if (const auto *drop = std::get_if<DropPeer>(&action)) {
            const std::size_t to = indexOf(drop->incarnation);
            at(m_now + options.delay * 2, [this, node, to] {
                unlink(node, to);
            });
        } else if (const auto *gone = std::get_if<RouterGone>(&action)) {
            self.goneAt.emplace(gone->incarnation, m_now);
            const RouterNode &other = nodes[indexOf(gone->incarnation)];
            const bool running = other.up && !other.paused && other.state.options.self == gone->incarnation;
            self.falseGone += running ? 1 : 0;
        } else if (const auto *live = std::get_if<RouterLive>(&action)) {
            self.liveAt.emplace(live->member.incarnation, m_now);
        }
    }
}

std::size_t SimulatedRouters::seesAlive(std::size_t node) const
{
    std::size_t count = 0;
    for (const MemberUpdate &member : liveRouters(nodes[node].state, false)) {
        const std::size_t other = indexOf(member.incarnation);
        count += nodes[other].up && member.incarnation == nameOf(other) ? 1 : 0;
    }
    return count;
}

bool SimulatedRouters::converged() const
{
    const auto up = static_cast<std::size_t>(std::count_if(nodes.begin(), nodes.end(), [](const RouterNode &node) {
        return node.up;
    }));
    for (std::size_t node = 0; node < nodes.size(); ++node) {
        const bool all = seesAlive(node) == up - 1 && liveRouters(nodes[node].state, false).size() == up - 1;
        if (nodes[node].up && !all) {
            return false;
        }
    }
    return true;
}

void SimulatedRouters::run(Duration time)
{
    const TimePoint end = m_now + time;
    while (!m_events.empty() && m_events.begin()->first <= end) {
        const auto first = m_events.begin();
        m_now = std::max(m_now, first->first);
        const std::function<void()> what = std::move(first->second);
        m_events.erase(first);
        what();
    }
    m_now = end;
}

} // namespace Godwit::Simulation
